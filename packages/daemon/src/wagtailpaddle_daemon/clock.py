"""Monotonic clock of the daemon."""

import time


def now() -> float:
    """Return monotonic seconds that include the time while the VM is suspended.

    Guarantees that rest on a bounded delay, such as leases, would not hold with a
    clock that stops while the VM is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
