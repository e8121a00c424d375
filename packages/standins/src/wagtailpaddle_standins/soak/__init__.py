"""Long seeded random runs of several complete nodes over in-memory fakes."""
