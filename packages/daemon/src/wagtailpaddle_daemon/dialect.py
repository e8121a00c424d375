"""The HTTP headers between callers, this daemon and backend servers."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wagtailpaddle_core import AccountId, Answer, ServerId
from wagtailpaddle_node import OPEN_ACCOUNT
from wagtailpaddle_routing import OWN_SHED_ANSWERS

from wagtailpaddle_daemon.headers import Header, bearer_key

KeyReader = Callable[[bytes | None], bytes | None]


def plain_key(value: bytes | None) -> bytes | None:
    """Return the key of a header whose whole value is the key, or None."""
    if value is None or not value.strip():
        return None
    return value.strip()


@dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Names and meaning of the headers in one kind of deployment.

    Headers that are None are not used. ``timeout_ms`` is the remaining time in
    milliseconds, both from callers and to servers. ``account`` contains the client
    account and ``expected_server`` the id of the server, both to servers only.
    With ``must_echo`` a response must contain the request id. ``shed_answers``,
    ``load``, ``limit``, ``leaving`` and ``rest`` are names in registries of
    ``wagtailpaddle_routing``. Callers take an answer with one of
    ``not_run_statuses`` for a statement that their request did not run, so no answer
    of a server that ran it is passed on with such a status. With
    ``refuses_on_close`` an idle connection of a caller gets a refusal before it is
    closed. With ``integer_retry_after`` Retry-After is rounded to seconds. With
    ``decodes_paths`` percent-encoded paths are decoded before routes are matched.
    """

    request_id: bytes = b"X-Request-Id"
    timeout_ms: bytes = b"X-Request-Timeout-Ms"
    key: bytes = b"Authorization"
    read_key: KeyReader = bearer_key
    outcome: bytes = b"X-Outcome"
    idempotency_key: bytes | None = b"Idempotency-Key"
    account: bytes | None = None
    expected_server: bytes | None = None
    must_echo: bool = False
    shed_answers: tuple[str, ...] = OWN_SHED_ANSWERS
    load: str = "fraction"
    limit: str = "own"
    leaving: str = "own"
    rest: str = "seconds-or-date"
    not_run_statuses: frozenset[int] = frozenset()
    refuses_on_close: bool = True
    integer_retry_after: bool = True
    decodes_paths: bool = True

    def replaced_headers(self) -> frozenset[bytes]:
        """Return the callers' headers that are not passed on, in lower case."""
        headers = (self.request_id, self.timeout_ms, self.account, self.expected_server)
        names = {name.lower() for name in headers if name is not None}
        return frozenset(names | {b"content-length", b"expect", b"host"})

    def attempt_headers(
        self, remaining_s: float, server: ServerId, account: AccountId | None
    ) -> Iterator[Header]:
        """Yield the headers that are added to an attempt at ``server``."""
        yield self.timeout_ms, b"%d" % max(1, int(remaining_s * 1000))
        if self.expected_server is not None:
            yield self.expected_server, server.encode()
        if self.account is not None and account not in (None, OPEN_ACCOUNT):
            yield self.account, str(account).encode()

    def retry_after(self, answer: Answer, seconds: float | None) -> bytes:
        """Return the value of Retry-After, empty for none.

        With ``integer_retry_after`` waits below one second cannot be expressed. The
        header is then left out if ``seconds`` is None; the problem document still
        states that another address may be tried.
        """
        if self.integer_retry_after:
            return b"" if seconds is None else b"%d" % max(1, round(seconds))
        wait_s = answer.retry_after_s if seconds is None else seconds
        return b"" if wait_s is None else b"%.2f" % max(0.01, wait_s)


DEFAULT_DIALECT = Dialect()
