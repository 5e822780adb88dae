"""Ports over HTTP, and conversion of documents."""
