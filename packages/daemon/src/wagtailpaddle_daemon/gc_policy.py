"""Tuning of Python's cyclic garbage collector.

Modules and classes that are loaded at the start are never garbage. Scanning them
takes a tenth of the start-up time, and later causes occasional pauses.
"""

import gc

YOUNG_GENERATION_THRESHOLD = 20_000
"""Number of new objects between two collections of the youngest generation."""

OLDER_GENERATION_THRESHOLD = 20
"""Number of collections of a generation between two of the next older one."""


def disable_collection() -> None:
    """Disable garbage collection while the process starts."""
    gc.disable()


def enable_collection() -> None:
    """Enable garbage collection, and exclude the objects that exist already."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        YOUNG_GENERATION_THRESHOLD,
        OLDER_GENERATION_THRESHOLD,
        OLDER_GENERATION_THRESHOLD,
    )
    gc.enable()
