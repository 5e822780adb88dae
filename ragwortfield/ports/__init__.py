"""Protocols of what is outside."""
