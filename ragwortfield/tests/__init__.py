"""Tests; modules mirror those of the package."""
