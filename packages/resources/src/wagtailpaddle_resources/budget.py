"""How much memory and how many connections of a VM clients may hold."""

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
PROCESS_BYTES = 80_000_000
"""Memory that the daemon itself needs, with its copy of the fleet's state."""

OVERHEAD_FACTOR = 4 / 3
"""Memory that a held byte costs, with the allocator's unused part."""

MIN_MEMORY_BYTES = 4_000_000
FILE_DESCRIPTORS = 200
"""Descriptors that are not for sockets."""

CLIENT_SHARE = 0.75
"""Share of the sockets that is for clients; the rest is for servers and peers."""

MIN_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class ResourceBudget:
    """What all clients together may hold on a VM."""

    memory_bytes: int
    connections: int


def make_budget(memory_mb: float, descriptors: int) -> ResourceBudget:
    """Return the budget of a VM with so many megabytes and descriptors.

    >>> make_budget(200.0, 4100)
    ResourceBudget(memory_bytes=90000000, connections=2925)
    """
    spare_bytes = (memory_mb * BYTES_PER_MB - PROCESS_BYTES) / OVERHEAD_FACTOR
    sockets = descriptors - FILE_DESCRIPTORS
    return ResourceBudget(
        memory_bytes=max(MIN_MEMORY_BYTES, int(spare_bytes)),
        connections=max(MIN_CONNECTIONS, int(sockets * CLIENT_SHARE)),
    )
