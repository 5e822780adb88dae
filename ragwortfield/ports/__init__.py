"""Protocols of the external services that the scheduler depends on."""
