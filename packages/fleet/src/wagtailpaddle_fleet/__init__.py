"""Roster of VMs, freshness, caller directory, hand-over."""

from wagtailpaddle_fleet.freshness import Freshness
from wagtailpaddle_fleet.messages import Vm

__all__ = ["Freshness", "Vm"]
