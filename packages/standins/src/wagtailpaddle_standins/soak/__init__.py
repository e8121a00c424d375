"""Long seeded random runs of several whole nodes over in-memory fakes."""
