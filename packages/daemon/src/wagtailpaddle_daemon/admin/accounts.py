"""Commands on client accounts."""

from typing import Any

import msgspec
from wagtailpaddle_config import (
    CancelAccount,
    ClientAccount,
    PutAccount,
    RestoreAccount,
)
from wagtailpaddle_core import AccountId

from wagtailpaddle_daemon.admin.bodies import parse_object
from wagtailpaddle_daemon.admin.context import HANDLERS, Context, list_page
from wagtailpaddle_daemon.admin.errors import bad_request, not_found
from wagtailpaddle_daemon.admin.ports import Command, Reply


@HANDLERS.register("GET /v1/accounts")
async def list_accounts(context: Context, command: Command) -> Reply:
    """List client accounts, sorted by name."""
    accounts = context.port.node.configuration.accounts

    def show(name: AccountId) -> Any:
        return _describe(context, accounts[name])

    return await list_page(context, command, accounts, show, "accounts")


@HANDLERS.register("GET /v1/accounts/<name>")
async def show_account(context: Context, command: Command, name: str) -> Reply:
    """Show one client account."""
    account = context.port.node.configuration.accounts.get(AccountId(name))
    if account is None:
        raise not_found("client account", name)
    value = _describe(context, account)
    return Reply(value, revision=value["revision"])


@HANDLERS.register("PUT /v1/accounts/<name>")
async def put_account(context: Context, command: Command, name: str) -> Reply:
    """Create or change a client account; the body holds only the fields to set."""
    fields = parse_object(command)
    if "active" in fields:
        raise bad_request("field 'active' is set by cancel and restore")
    exists = name in context.port.node.configuration.accounts
    change = PutAccount(AccountId(name), fields)
    return await context.change(command, change, exists=exists)


@HANDLERS.register("POST /v1/accounts/<name>/cancel")
async def cancel_account(context: Context, command: Command, name: str) -> Reply:
    """Make a client account inactive; its routes, limits and keys are kept."""
    return await context.change(command, CancelAccount(AccountId(name)))


@HANDLERS.register("POST /v1/accounts/<name>/restore")
async def restore_account(context: Context, command: Command, name: str) -> Reply:
    """Make a cancelled client account active again."""
    return await context.change(command, RestoreAccount(AccountId(name)))


def _describe(context: Context, account: ClientAccount) -> dict[str, Any]:
    revision = context.revision_of(f"account/{account.id}")
    return {**msgspec.to_builtins(account), "revision": revision}
