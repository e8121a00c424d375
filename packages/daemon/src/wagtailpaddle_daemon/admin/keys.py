"""Commands on client accounts' keys."""

from typing import Any

from wagtailpaddle_config import IssueKey, Key, WithdrawKey, issue_key
from wagtailpaddle_core import AccountId, KeyId

from wagtailpaddle_daemon.admin.bodies import parse_secret_hash
from wagtailpaddle_daemon.admin.context import HANDLERS, Context, list_page
from wagtailpaddle_daemon.admin.errors import bad_request, not_found
from wagtailpaddle_daemon.admin.ports import Command, Reply

CREATED = 201
KEY_ID_DIGITS = 16


@HANDLERS.register("GET /v1/accounts/<name>/keys")
async def list_keys(context: Context, command: Command, name: str) -> Reply:
    """List the keys of a client account; secrets are not stored."""
    cfg = context.port.node.configuration
    if name not in cfg.accounts:
        raise not_found("client account", name)

    def is_listed(key: KeyId) -> bool:
        return cfg.keys[key].account == name

    def show(key: KeyId) -> Any:
        return _describe(context, cfg.keys[key])

    return await list_page(
        context, command, cfg.keys, show, "keys", is_listed=is_listed
    )


@HANDLERS.register("POST /v1/accounts/<name>/keys")
async def issue(context: Context, command: Command, name: str) -> Reply:
    """Issue a key; a secret generated here appears only in this response.

    An operator who generates the secret and sends only its hash still has the
    secret if the response is lost.
    """
    digest = parse_secret_hash(command)
    if digest is None:
        if command.record_id:
            raise bad_request(
                "a command with Idempotency-Key needs secret_hash: secrets show once"
            )
        key = issue_key()
        change = IssueKey(key.id, AccountId(name), key.secret_hash)
        return await context.change(
            command, change, status=CREATED, key=key.id, secret=key.secret
        )
    key_id = KeyId("k" + digest[:KEY_ID_DIGITS])
    change = IssueKey(key_id, AccountId(name), digest)
    return await context.change(command, change, status=CREATED, key=key_id)


@HANDLERS.register("GET /v1/keys/<name>")
async def show_key(context: Context, command: Command, name: str) -> Reply:
    """Show one key without its secret."""
    key = context.port.node.configuration.keys.get(KeyId(name))
    if key is None:
        raise not_found("key", name)
    value = _describe(context, key)
    return Reply(value, revision=value["revision"])


@HANDLERS.register("DELETE /v1/keys/<name>")
async def withdraw(context: Context, command: Command, name: str) -> Reply:
    """Withdraw a key permanently."""
    return await context.change(command, WithdrawKey(KeyId(name)))


def _describe(context: Context, key: Key) -> dict[str, Any]:
    return {
        "id": key.id,
        "account": key.account,
        "withdrawn": key.withdrawn,
        "revision": context.revision_of(f"key/{key.id}"),
    }
