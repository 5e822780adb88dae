"""Executables that build the components of an instance and run it."""
