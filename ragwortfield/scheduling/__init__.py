"""Jobs, their tasks and the workers they run on, decided without network."""
