"""Log of the routing decisions on each request and the reasons for them."""

from hashlib import blake2b
from typing import Any

from wagtailpaddle_core import ErrorKind
from wagtailpaddle_node import ConfigState
from wagtailpaddle_routing import AttemptOutcome, AttemptResult, Dispatch

from wagtailpaddle_daemon.echo import Match
from wagtailpaddle_daemon.logs import get_logger

MAX_LOGGED_ID_BYTES = 128
MAX_LOGGED_IDS = 4
UNSAMPLED_LINES_PER_S = 100
"""Rate of log lines per second above which successful requests are sampled."""

SAMPLE_BITS = 4
FIRST_SERVER_ERROR = 500

log = get_logger("request")


class DecisionLog:
    """Writes a log line for each decision on a request.

    Failures and refusals are always logged. Above ``UNSAMPLED_LINES_PER_S`` lines per
    second, only 1 in 16 successful requests is logged. The sample is chosen by
    the request's id, so that all VMs that handle a request choose alike.
    """

    def __init__(self) -> None:
        self._second = 0
        self._n_lines = 0

    def dispatched(
        self,
        now: float,
        external_id: bytes,
        action: Dispatch,
        config: ConfigState,
        **fields: Any,
    ) -> None:
        """Log the start of an attempt."""
        if not self._is_logged(now, external_id):
            return
        log.info(
            "Sent.",
            id=_text(external_id),
            server=action.server,
            service=action.service,
            attempt=action.attempt,
            queued_s=round(action.queued_s, 4),
            left_s=round(action.timeout_at - now, 3),
            **_config_fields(config),
            **fields,
        )

    def attempt_ended(
        self, now: float, external_id: bytes, server: str, result: AttemptResult
    ) -> None:
        """Log the end of an attempt."""
        answered = result.outcome is AttemptOutcome.ANSWERED
        is_success = answered and result.status < FIRST_SERVER_ERROR
        if is_success and not self._is_logged(now, external_id):
            return
        log.info(
            "Attempt ended.",
            id=_text(external_id),
            server=server,
            outcome=result.outcome.value,
            status=result.status,
            took_s=round(result.latency_s, 4),
            load=result.load,
            limit=result.stated_limit,
            rest_s=result.rest_s,
        )

    def unmatched(
        self,
        external_id: bytes,
        server: str,
        match: Match,
        status: int,
        echoed: tuple[bytes, ...],
    ) -> None:
        """Log a response that does not belong to the request it came for."""
        log.warning(
            "Response to another request.",
            id=_text(external_id),
            server=server,
            match=match.value,
            status=status,
            echoed=[_text(value) for value in echoed[:MAX_LOGGED_IDS]],
        )

    def refused(
        self,
        external_id: bytes,
        kind: ErrorKind,
        detail: str,
        retry_after_s: float | None,
        config: ConfigState,
        **fields: Any,
    ) -> None:
        """Log that this VM itself refused a request."""
        log.info(
            "Refused.",
            id=_text(external_id),
            kind=kind.value,
            detail=detail,
            retry_after_s=retry_after_s,
            **_config_fields(config),
            **fields,
        )

    def caller_disconnected(self, external_id: bytes) -> None:
        """Log that the caller disconnected before the response."""
        log.info("Caller went away.", id=_text(external_id))

    def _is_logged(self, now: float, external_id: bytes) -> bool:
        second = int(now)
        if second != self._second:
            self._second = second
            self._n_lines = 0
        self._n_lines += 1
        if self._n_lines <= UNSAMPLED_LINES_PER_S:
            return True
        digest = blake2b(external_id, digest_size=1).digest()[0]
        return digest >> (8 - SAMPLE_BITS) == 0


def _config_fields(config: ConfigState) -> dict[str, object]:
    """Return the fields that state which configuration decided."""
    fields: dict[str, object] = {"revision": config.revision}
    if config.version is not None:
        fields["version"] = config.version
    if config.age_s is not None:
        fields["config_age_s"] = round(config.age_s, 3)
    return fields


def _text(external_id: bytes) -> str:
    return external_id[:MAX_LOGGED_ID_BYTES].decode("latin-1")
