"""Settings of daemons and configuration of deployments, read from TOML."""
