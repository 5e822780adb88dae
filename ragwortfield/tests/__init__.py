"""Tests; a test module is named after the module that it tests."""
