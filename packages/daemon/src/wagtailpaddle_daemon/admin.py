"""The administration API."""

import time
from hmac import compare_digest
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import msgspec
from klein import Klein
from twisted.web import http
from wagtailpaddle_config import (
    Applied,
    Change,
    IssueKey,
    PublishBase,
    PutAccount,
    Record,
    WithdrawKey,
    hash_secret,
    issue_key,
)
from wagtailpaddle_core import ANSWERS, AccountId, ErrorKind, KeyId, WagtailError
from wagtailpaddle_peer import encode_record

from wagtailpaddle_daemon.headers import bearer_key
from wagtailpaddle_daemon.logclient import LogError

if TYPE_CHECKING:
    from wagtailpaddle_daemon.service import Daemon


class Admin:
    """Serves operators on the administration address of one daemon."""

    app = Klein()

    def __init__(self, daemon: "Daemon"):
        self._daemon = daemon

    @app.handle_errors(WagtailError)
    def on_error(self, request: Any, failure: Any) -> bytes:
        """Answer a refused command with a problem document."""
        exc = failure.value
        request.setResponseCode(ANSWERS[exc.kind].status)
        return self._json(request, {"type": exc.kind.value, "detail": exc.detail})

    @app.route("/v1/status", methods=["GET"])
    def status(self, request: Any) -> bytes:
        """Return the state of this daemon."""
        self._operator(request)
        node = self._daemon.node
        return self._json(
            request,
            {
                "vm": self._daemon.vm,
                "revision": node.configuration.revision,
                "accounts": sorted(node.configuration.accounts),
                "in_flight": self._daemon.gateway.n_in_flight,
            },
        )

    @app.route("/v1/accounts/<name>", methods=["PUT"])
    async def put_account(self, request: Any, name: str) -> bytes:
        """Create or change a client account."""
        fields = self._body(request)
        change = PutAccount(AccountId(name), fields)
        return await self._change(request, change)

    @app.route("/v1/base", methods=["PUT"])
    async def publish_base(self, request: Any) -> bytes:
        """Replace the base document."""
        return await self._change(request, PublishBase(self._body(request)))

    @app.route("/v1/accounts/<name>/keys", methods=["POST"])
    async def issue(self, request: Any, name: str) -> bytes:
        """Issue a key; its secret is in this answer only."""
        key = issue_key()
        change = IssueKey(key.id, AccountId(name), key.secret_hash)
        await self._change(request, change)
        return self._json(request, {"key": key.id, "secret": key.secret})

    @app.route("/v1/keys/<key>", methods=["DELETE"])
    async def withdraw(self, request: Any, key: str) -> bytes:
        """Withdraw a key."""
        return await self._change(request, WithdrawKey(KeyId(key)))

    async def _change(self, request: Any, change: Change) -> bytes:
        author = self._operator(request)
        record = Record(uuid4().hex, author, time.time(), None, change)
        daemon = self._daemon
        try:
            await daemon.log_client.append("config", encode_record(record))
        except LogError as exc:
            raise WagtailError(ErrorKind.LOG_UNAVAILABLE, str(exc)) from None
        await daemon.catch_up()
        result = daemon.node.fold.result_of(record.id)
        if not isinstance(result, Applied):
            reason = result.reason if result else "the record was not read back"
            raise WagtailError(ErrorKind.CONFLICT, reason)
        return self._json(request, {"revision": result.offset, "record": record.id})

    def _operator(self, request: Any) -> str:
        token = bearer_key(request.getHeader(b"authorization"))
        digest = hash_secret(token.decode("latin-1")) if token else ""
        for name, known in self._daemon.cfg.operators.items():
            if compare_digest(digest, known):
                return name
        raise WagtailError(ErrorKind.KEY_UNKNOWN, "an operator's token is required")

    def _body(self, request: Any) -> dict[str, Any]:
        self._operator(request)
        try:
            return msgspec.json.decode(request.content.read(), type=dict[str, Any])
        except msgspec.MsgspecError as exc:
            raise WagtailError(ErrorKind.BAD_REQUEST, str(exc)) from None

    def _json(self, request: Any, value: object) -> bytes:
        request.setHeader(b"content-type", b"application/json")
        if request.code == http.OK and request.method == b"POST":
            request.setResponseCode(http.CREATED)
        return msgspec.json.encode(value)
