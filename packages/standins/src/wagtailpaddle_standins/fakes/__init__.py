"""Small in-memory fakes at the interfaces of the decision packages."""
