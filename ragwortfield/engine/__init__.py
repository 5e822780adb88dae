"""Parts that carry decisions out through the ports."""
