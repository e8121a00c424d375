"""Identifier types of accounts, servers, VMs and other objects of the system."""

from typing import NewType

AccountId = NewType("AccountId", str)
KeyId = NewType("KeyId", str)
RequestId = NewType("RequestId", str)
RouteId = NewType("RouteId", str)
ServerId = NewType("ServerId", str)
ServiceId = NewType("ServiceId", str)
VmId = NewType("VmId", str)
ZoneId = NewType("ZoneId", str)

Offset = int
"""Position of a record in a stream of the log, counted from 0."""
