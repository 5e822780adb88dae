"""Decision rules of an entry instance; they do no input or output."""
