"""Run-time checks of invariants."""


class InvariantError(AssertionError):
    """An invariant of the system does not hold."""


def ensure(condition: bool, name: str, **values: object) -> None:
    """Raise ``InvariantError`` unless ``condition`` holds.

    Unlike ``assert``, the check is not removed by ``python -O``. ``values`` are
    added to the message.

    >>> ensure(2 > 1, "order")
    """
    if condition:
        return
    details = ", ".join(f"{key}={value!r}" for key, value in sorted(values.items()))
    raise InvariantError(f"invariant {name!r} broken: {details}")
