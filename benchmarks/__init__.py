"""Benchmarks of whole processes."""
