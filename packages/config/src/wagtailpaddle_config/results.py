"""What became of a record."""

from dataclasses import dataclass
from enum import StrEnum

from wagtailpaddle_core import Offset

from wagtailpaddle_config.document import Problem


class VoidCode(StrEnum):
    """Why a record is without effect."""

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
    """A record without effect, and why; the same for every reader.

    A conflict names in ``current`` the revision that the object has and in
    ``winner`` the author of the change that made it. ``problems`` lists the
    faults of an invalid document, at most ``MAX_PROBLEMS`` of them.
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
    """Raised inside the fold by a change that can't take effect."""

    def __init__(self, code: VoidCode, reason: str, problems: tuple[Problem, ...] = ()):
        super().__init__(reason)
        self.code = code
        self.reason = reason
        self.problems = problems
