"""HTTP server of the administration API."""

import re
from hmac import compare_digest
from io import BytesIO
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure
from twisted.web.resource import EncodingResourceWrapper
from twisted.web.server import GzipEncoderFactory, Request, Site
from wagtailpaddle_config import hash_secret
from wagtailpaddle_core import ErrorKind, Offset, WagtailError
from werkzeug.exceptions import HTTPException

from wagtailpaddle_daemon.admin import (  # noqa: F401
    accounts,
    documents,
    explain,
    keys,
    routes,
    status,
)
from wagtailpaddle_daemon.admin.commit import Committer
from wagtailpaddle_daemon.admin.context import HANDLERS, Context, Handler
from wagtailpaddle_daemon.admin.errors import AdminError, bad_request, error_document
from wagtailpaddle_daemon.admin.ports import (
    Acceptance,
    AdminPort,
    Command,
    FleetView,
    Reply,
    local_acceptance,
    local_fleet,
)
from wagtailpaddle_daemon.headers import bearer_key
from wagtailpaddle_daemon.logs import LogThrottle, get_logger
from wagtailpaddle_daemon.metrics import Metrics

PROBLEM_CONTENT_TYPE = b"application/problem+json"
RECORD_ID = r"[A-Za-z0-9_.-]{8,64}"
ENTITY_TAG = r'"(-?[0-9]{1,18})"'
IDLE_TIMEOUT_S = 60

log = get_logger("admin")


class AdminRequest(Request):
    """A request that buffers its body in memory, up to a size limit.

    Twisted writes large bodies to a temporary file, and the VMs have no disks.
    """

    is_too_large = False
    _n_received = 0

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare to receive a body of ``length`` bytes (None: chunked)."""
        self.content = BytesIO()
        limit = self.channel.site.max_body_bytes
        self.is_too_large = length is not None and length > limit

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append a chunk of the body unless the limit is exceeded."""
        self._n_received += len(data)
        if self._n_received > self.channel.site.max_body_bytes:
            self.is_too_large = True
        if not self.is_too_large:
            self.content.write(data)


class FastGzip(GzipEncoderFactory):
    """Compresses responses, above all metrics pages, if the client accepts gzip."""

    compressLevel = 1  # noqa: N815


class AdminSite(Site):
    """Protocol factory for operators' connections."""

    def __init__(self, resource: Any, *, max_body_bytes: int, **kwargs: Any):
        super().__init__(resource, AdminRequest, timeout=IDLE_TIMEOUT_S, **kwargs)
        self.max_body_bytes = max_body_bytes

    def log(self, request: Any) -> None:
        """Write no access log; changes are logged individually."""


class Admin:
    """Serves the administration API of one daemon.

    ``acceptance`` returns the state of a change and ``fleet`` the known VMs.
    Without them, only this VM is taken into account.
    """

    def __init__(
        self,
        port: AdminPort,
        reactor: Any,
        *,
        metrics: Metrics | None = None,
        acceptance: Acceptance | None = None,
        fleet: FleetView | None = None,
    ):
        self._port = port
        self._reactor = reactor
        self._context = Context(
            port=port,
            committer=Committer(port, reactor),
            acceptance=acceptance or local_acceptance(port),
            fleet=fleet or local_fleet(port),
            metrics=metrics or Metrics(),
            now=reactor.seconds,
            yield_to_reactor=self._yield_to_reactor,
        )
        self._throttle = LogThrottle()
        self.app = self._build()

    def site(self, **kwargs: Any) -> AdminSite:
        """Return the protocol factory for operators' connections."""
        limit = self._port.cfg.admin_max_body_bytes
        resource = EncodingResourceWrapper(self.app.resource(), [FastGzip()])
        return AdminSite(resource, max_body_bytes=limit, **kwargs)

    def _build(self) -> Klein:
        app = Klein()
        for name in HANDLERS.names():
            method, _, path = name.partition(" ")
            endpoint = self._endpoint(name, HANDLERS[name])
            app.route(path, methods=[method], endpoint=name)(endpoint)
        app.handle_errors(HTTPException)(self._on_no_route)
        app.handle_errors(WagtailError)(self._on_refusal)
        app.handle_errors(Exception)(self._on_fault)
        return app

    def _endpoint(self, name: str, handler: Handler) -> Any:
        async def serve(request: Any, **names: str) -> bytes:
            command = self._decode_command(request)
            reply = await handler(self._context, command, **names)
            if not name.startswith("GET"):
                log.info("Changed.", operator=command.operator, command=name, **names)
            return _write_reply(request, reply)

        return serve

    def _decode_command(self, request: Any) -> Command:
        operator = self._operator(request)
        if request.is_too_large:
            limit = self._port.cfg.admin_max_body_bytes
            detail = f"the limit is {limit} bytes"
            raise AdminError(ErrorKind.BODY_TOO_LARGE, detail)
        return Command(
            operator=operator,
            body=request.content.read(),
            query=_decode_query(request.args),
            expected=_parse_if_match(request.getHeader(b"if-match")),
            must_be_new=_parse_if_none_match(request.getHeader(b"if-none-match")),
            record_id=_parse_record_id(request.getHeader(b"idempotency-key")),
        )

    def _operator(self, request: Any) -> str:
        token = bearer_key(request.getHeader(b"authorization"))
        if token is None:
            raise WagtailError(ErrorKind.KEY_MISSING, "an operator's token is required")
        digest = hash_secret(token.decode("latin-1"))
        operator = ""
        for name, known in self._port.cfg.operators.items():
            if compare_digest(digest, known):
                operator = name
        if not operator:
            raise WagtailError(ErrorKind.KEY_UNKNOWN, "the token matches no operator")
        return operator

    def _yield_to_reactor(self) -> Deferred[None]:
        return deferLater(self._reactor, 0)

    def _on_no_route(self, request: Any, failure: Failure) -> bytes:
        exc: Any = failure.value
        detail = f"{request.method.decode('latin-1')} {request.path.decode('latin-1')}"
        kind = ErrorKind.NOT_FOUND if exc.code == 404 else ErrorKind.BAD_REQUEST
        problem = error_document(AdminError(kind, f"{detail!r} is not a command"))
        problem["status"] = exc.code
        return _write_problem(request, problem)

    def _on_refusal(self, request: Any, failure: Failure) -> bytes:
        exc: Any = failure.value
        if exc.kind is ErrorKind.KEY_UNKNOWN:
            self._log_unknown_token(request)
        return _write_problem(request, error_document(exc))

    def _log_unknown_token(self, request: Any) -> None:
        n_suppressed = self._throttle.permit(self._reactor.seconds(), "token")
        if n_suppressed is not None:
            host = getattr(request.getClientAddress(), "host", "")
            log.warning("Token refused.", host=host, unlogged=n_suppressed)

    def _on_fault(self, request: Any, failure: Failure) -> bytes:
        log.error("Command failed.", failure=failure.getTraceback())
        exc = WagtailError(ErrorKind.INTERNAL, "see the log of this daemon")
        return _write_problem(request, error_document(exc))


def _decode_query(args: dict[bytes, list[bytes]]) -> dict[str, str]:
    try:
        return {name.decode(): values[-1].decode() for name, values in args.items()}
    except UnicodeDecodeError:
        raise bad_request("the query is not UTF-8") from None


def _parse_if_match(tag: bytes | None) -> Offset | None:
    if tag is None or tag == b"*":
        return None
    match = re.fullmatch(ENTITY_TAG, tag.decode("latin-1"))
    if match is None:
        raise bad_request(f"If-Match is {tag!r}; allowed: a revision in quotes")
    return int(match[1])


def _parse_if_none_match(tag: bytes | None) -> bool:
    if tag is None:
        return False
    if tag != b"*":
        raise bad_request(f"If-None-Match is {tag!r}; allowed: *")
    return True


def _parse_record_id(header: bytes | None) -> str | None:
    if header is None:
        return None
    text = header.decode("latin-1")
    if not re.fullmatch(RECORD_ID, text):
        rule = "8 to 64 letters, digits, dots, dashes or underscores"
        raise bad_request(f"Idempotency-Key is {text!r}; allowed: {rule}")
    return text


def _write_reply(request: Any, reply: Reply) -> bytes:
    request.setResponseCode(reply.status)
    request.setHeader(b"content-type", reply.content_type)
    if reply.revision is not None:
        request.setHeader(b"etag", b'"%d"' % reply.revision)
    if isinstance(reply.value, bytes):
        return reply.value
    return msgspec.json.encode(reply.value)


def _write_problem(request: Any, problem: dict[str, Any]) -> bytes:
    request.setResponseCode(problem["status"])
    request.setHeader(b"content-type", PROBLEM_CONTENT_TYPE)
    request.setHeader(b"x-outcome", problem["outcome"].encode())
    if problem["status"] == 401:
        request.setHeader(b"www-authenticate", b"Bearer")
    return msgspec.json.encode(problem)
