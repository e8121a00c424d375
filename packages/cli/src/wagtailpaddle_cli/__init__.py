"""The operators' command-line client of the administration API."""
