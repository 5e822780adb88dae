"""Benchmarks of an entry process and of its control functions."""
