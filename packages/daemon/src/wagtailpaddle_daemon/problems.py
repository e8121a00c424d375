"""Problem documents (RFC 9457) for refusals."""

import json
from typing import Any

from wagtailpaddle_core import ANSWERS, ErrorKind

PROBLEM_TYPE = "urn:wagtailpaddle:error:"
CONTENT_TYPE = b"application/problem+json"


def problem_document(kind: ErrorKind, detail: str, **extensions: Any) -> dict[str, Any]:
    """Return the problem document of an error with the members ``extensions``."""
    answer = ANSWERS[kind]
    return {
        "type": PROBLEM_TYPE + kind.value,
        "title": answer.title,
        "status": answer.status,
        "detail": detail,
        "outcome": answer.outcome.value,
        "retry_elsewhere": answer.retry_elsewhere,
        **extensions,
    }


def problem_body(kind: ErrorKind, detail: str) -> bytes:
    """Return the response body for an error of ``kind``."""
    return json.dumps(problem_document(kind, detail)).encode()


def draining_response(outcome_header: bytes) -> bytes:
    """Return the response to a request sent while its connection was being closed."""
    answer = ANSWERS[ErrorKind.DRAINING]
    body = problem_body(ErrorKind.DRAINING, "the VM has shut down")
    lines = (
        b"HTTP/1.1 %d Service Unavailable" % answer.status,
        b"Content-Type: " + CONTENT_TYPE,
        b"Content-Length: %d" % len(body),
        outcome_header + b": " + answer.outcome.value.encode(),
        b"Connection: close",
    )
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
