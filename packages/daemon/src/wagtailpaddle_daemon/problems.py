"""Problem documents (RFC 9457) for refusals."""

import json

from wagtailpaddle_core import ANSWERS, ErrorKind

PROBLEM_TYPE = "urn:wagtailpaddle:error:"
CONTENT_TYPE = b"application/problem+json"


def problem_document(kind: ErrorKind, detail: str) -> bytes:
    """Return the body that answers an error of ``kind``."""
    answer = ANSWERS[kind]
    document = {
        "type": PROBLEM_TYPE + kind.value,
        "title": answer.title,
        "status": answer.status,
        "detail": detail,
        "outcome": answer.outcome.value,
        "retry_elsewhere": answer.retry_elsewhere,
    }
    return json.dumps(document).encode()
