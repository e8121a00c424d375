"""The clock of the daemon."""

import time


def now() -> float:
    """Return seconds that never go back and go on while the VM is suspended.

    Promises that depend on a bounded delay would break on a clock that stands
    still during a pause of the VM.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
