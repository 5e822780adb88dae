"""Data model: entities as frozen rows, kept in tables."""
