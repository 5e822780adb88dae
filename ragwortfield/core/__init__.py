"""Data model: immutable entities and the state of one entry instance."""
