"""Thin daemons that wire the library and run it."""
