"""HTTP interfaces of callers and operators, and the server below them."""
