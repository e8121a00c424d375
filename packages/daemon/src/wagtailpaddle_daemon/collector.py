"""The pace of Python's cyclic garbage collector.

Modules and classes that are loaded at the start live as long as the process. Looking
for garbage among them costs a start a tenth of its time, and later a pause now and
then.
"""

import gc

YOUNG_OBJECTS = 20_000
"""Objects that are made between two looks at the youngest ones."""

LOOKS_AT_OLDER = 20
"""Looks at younger objects between two looks at the next older ones."""


def hold() -> None:
    """Collect nothing while the process starts."""
    gc.disable()


def begin() -> None:
    """Collect from now on, and never look at what is there already."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, LOOKS_AT_OLDER, LOOKS_AT_OLDER)
    gc.enable()
