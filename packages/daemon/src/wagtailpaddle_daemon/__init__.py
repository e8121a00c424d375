"""The proxy daemon."""
