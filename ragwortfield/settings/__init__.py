"""Settings and configuration: TOML in, checked data classes out."""
