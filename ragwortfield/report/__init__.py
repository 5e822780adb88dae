"""Metrics and the report of error-budget burn rates."""
