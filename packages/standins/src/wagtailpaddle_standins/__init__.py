"""Stand-ins for the platform and backend servers, for tests and the demo."""
