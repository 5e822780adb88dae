"""Public stand-ins and helpers for tests and trials."""
