"""Messages and links between entry instances."""
