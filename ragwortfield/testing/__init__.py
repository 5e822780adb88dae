"""Fakes, local deployments and load generation for tests and demos."""
