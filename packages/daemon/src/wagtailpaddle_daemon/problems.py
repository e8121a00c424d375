"""Problem documents (RFC 9457) for refusals."""

import json
from typing import Any

from wagtailpaddle_core import ANSWERS, ErrorKind

PROBLEM_TYPE = "urn:wagtailpaddle:error:"
CONTENT_TYPE = b"application/problem+json"


def problem_document(kind: ErrorKind, detail: str, **facts: Any) -> dict[str, Any]:
    """Return the document of an error; ``facts`` are further members."""
    answer = ANSWERS[kind]
    return {
        "type": PROBLEM_TYPE + kind.value,
        "title": answer.title,
        "status": answer.status,
        "detail": detail,
        "outcome": answer.outcome.value,
        "retry_elsewhere": answer.retry_elsewhere,
        **facts,
    }


def problem_body(kind: ErrorKind, detail: str) -> bytes:
    """Return the body that answers an error of ``kind``."""
    return json.dumps(problem_document(kind, detail)).encode()
