"""At-most-once claims for idempotency keys."""
