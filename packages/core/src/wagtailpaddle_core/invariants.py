"""Invariants that the program asserts about itself while it runs."""


class InvariantError(AssertionError):
    """A promise of the system was about to be broken."""


def ensure(condition: bool, name: str, **values: object) -> None:
    """Raise ``InvariantError`` unless ``condition`` holds.

    Unlike ``assert`` it stays in force under ``python -O``. ``values`` are the
    values that a reader of the traceback needs.

    >>> ensure(2 > 1, "order")
    """
    if condition:
        return
    details = ", ".join(f"{key}={value!r}" for key, value in sorted(values.items()))
    raise InvariantError(f"invariant {name!r} broken: {details}")
