"""HTTP client, clients of the platform, and conversion to and from JSON."""
