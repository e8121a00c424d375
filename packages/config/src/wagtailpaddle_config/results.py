"""Results of folding a record."""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import Offset

from wagtailpaddle_config.document import Problem


class VoidCode(StrEnum):
    """Why a record has no effect."""

    CONFLICT = "conflict"
    DUPLICATE = "duplicate"
    EXPIRED = "expired"
    INVALID = "invalid"
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class Applied:
    """A record that took effect."""

    record_id: str
    offset: Offset


@dataclass(frozen=True, slots=True)
class Void:
    """A record without effect, with the reason. It is void for every reader.

    For a conflict, ``current`` is the revision of the object and ``winner`` the
    author of the change that produced it. ``problems`` lists at most
    ``MAX_REPORTED_PROBLEMS`` faults of an invalid document.
    """

    record_id: str
    offset: Offset
    reason: str
    code: VoidCode = VoidCode.INVALID
    problems: tuple[Problem, ...] = ()
    current: Offset | None = None
    winner: str = ""


Result = Applied | Void


class VoidError(Exception):
    """Raised within the fold for a change that can't take effect."""

    def __init__(self, code: VoidCode, reason: str, problems: tuple[Problem, ...] = ()):
        super().__init__(reason)
        self.code = code
        self.reason = reason
        self.problems = problems
