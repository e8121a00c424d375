"""Measurements of the state that the fleet keeps together."""
