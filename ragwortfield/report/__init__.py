"""Metrics and the report of service-level burn."""
