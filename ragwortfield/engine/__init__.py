"""Components that carry out scheduling decisions through the ports."""
