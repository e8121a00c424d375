"""Measurements of the state that the VMs of a fleet share."""
