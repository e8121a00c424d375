"""The status codes that HTTP allows for final responses."""

FINAL_STATUSES = range(200, 600)
"""Status codes of responses that are not interim (RFC 9110, section 15)."""


def is_final_status(status: int) -> bool:
    """Return whether a response with this status may be passed on to a caller.

    >>> is_final_status(204), is_final_status(0), is_final_status(101)
    (True, False, False)
    """
    return status in FINAL_STATUSES
