"""Exit statuses, and the error that ends a command with one."""

from enum import IntEnum
from typing import Any

from wagtailpaddle_core import ErrorKind


class ExitStatus(IntEnum):
    """Exit statuses of ``wagtailpaddle``."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    UNKNOWN = 4
    CONFLICT = 5
    NOT_FOUND = 6
    NOT_ALLOWED = 7
    NOT_IN_FORCE = 8


EXIT_STATUS_MEANINGS: dict[ExitStatus, str] = {
    ExitStatus.OK: "done",
    ExitStatus.REFUSED: "refused; nothing changed",
    ExitStatus.USAGE: "wrong arguments or settings; nothing was sent",
    ExitStatus.UNREACHABLE: (
        "no daemon responded, or the log is unavailable; nothing changed"
    ),
    ExitStatus.UNKNOWN: "the change may have taken effect; check with `record show ID`",
    ExitStatus.CONFLICT: "the object was changed in the meantime; nothing changed",
    ExitStatus.NOT_FOUND: "the object does not exist; nothing changed",
    ExitStatus.NOT_ALLOWED: "the token is not an operator's; nothing changed",
    ExitStatus.NOT_IN_FORCE: "recorded, but not in force within `--wait` seconds",
}

EXIT_STATUS_BY_KIND: dict[str, ExitStatus] = {
    ErrorKind.CONFLICT.value: ExitStatus.CONFLICT,
    ErrorKind.KEY_MISSING.value: ExitStatus.NOT_ALLOWED,
    ErrorKind.KEY_UNKNOWN.value: ExitStatus.NOT_ALLOWED,
    ErrorKind.LOG_UNAVAILABLE.value: ExitStatus.UNREACHABLE,
    ErrorKind.NOT_FOUND.value: ExitStatus.NOT_FOUND,
    ErrorKind.INTERNAL.value: ExitStatus.UNKNOWN,
    ErrorKind.OUTCOME_UNKNOWN.value: ExitStatus.UNKNOWN,
}


class CommandError(Exception):
    """A command failed; ``problem`` is the document that ``--json`` prints."""

    def __init__(self, status: ExitStatus, detail: str, problem: Any = None):
        super().__init__(detail)
        self.status = status
        self.problem = problem or {"detail": detail, "exit": int(status)}


def error_from_problem(problem: dict[str, Any]) -> CommandError:
    """Return the error for a problem document that a daemon sent."""
    kind = str(problem.get("type", "")).rpartition(":")[2]
    status = EXIT_STATUS_BY_KIND.get(kind, ExitStatus.REFUSED)
    lines = [f"{kind or 'error'}: {problem.get('detail', '')}"]
    changed_by = problem.get("changed_by")
    if changed_by and repr(changed_by) not in lines[0]:
        lines.append(f"{changed_by!r} made revision {problem.get('current')}")
    return CommandError(status, "; ".join(lines), problem)
