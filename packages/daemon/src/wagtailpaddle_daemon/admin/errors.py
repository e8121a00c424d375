"""Errors of operators' commands and their problem documents."""

from collections.abc import Mapping
from typing import Any

from wagtailpaddle_config import Problem, Void, VoidCode
from wagtailpaddle_core import ErrorKind, WagtailError

from wagtailpaddle_daemon.problems import problem_document

MAX_VALUE_CHARS = 200

VOID_ERROR_KINDS: dict[VoidCode, ErrorKind] = {
    VoidCode.CONFLICT: ErrorKind.CONFLICT,
    VoidCode.DUPLICATE: ErrorKind.CONFLICT,
    VoidCode.EXPIRED: ErrorKind.LOG_UNAVAILABLE,
    VoidCode.INVALID: ErrorKind.BAD_REQUEST,
    VoidCode.MISSING: ErrorKind.NOT_FOUND,
}


class AdminError(WagtailError):
    """A refused command; ``extensions`` are added to its problem document."""

    def __init__(self, kind: ErrorKind, detail: str, **extensions: Any):
        super().__init__(kind, detail)
        self.extensions: Mapping[str, Any] = extensions


def bad_request(detail: str, **extensions: Any) -> AdminError:
    """Return the error for a malformed command."""
    return AdminError(ErrorKind.BAD_REQUEST, detail, **extensions)


def not_found(what: str, name: str) -> AdminError:
    """Return the error for a command on an object that does not exist."""
    return AdminError(ErrorKind.NOT_FOUND, f"{what} {name!r} does not exist")


def invalid_document(problems: tuple[Problem, ...]) -> AdminError:
    """Return the error for an invalid document."""
    detail = "; ".join(str(problem) for problem in problems)
    return bad_request(detail, problems=[_describe(item) for item in problems])


def error_from_void(void: Void) -> AdminError:
    """Return the error for a change that took no effect."""
    extensions: dict[str, Any] = {"record": void.record_id}
    if void.problems:
        extensions["problems"] = [_describe(problem) for problem in void.problems]
    if void.current is not None:
        extensions["current"] = void.current
        extensions["changed_by"] = void.winner
    return AdminError(VOID_ERROR_KINDS[void.code], void.reason, **extensions)


def error_document(exc: WagtailError) -> dict[str, Any]:
    """Return the problem document (RFC 9457) of an error."""
    extensions = exc.extensions if isinstance(exc, AdminError) else {}
    return problem_document(exc.kind, exc.detail, **extensions)


def _describe(problem: Problem) -> dict[str, str]:
    value = repr(problem.value)[:MAX_VALUE_CHARS]
    return {"path": problem.path, "value": value, "rule": problem.rule}
