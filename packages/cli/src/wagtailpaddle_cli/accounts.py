"""Commands on client accounts."""

from argparse import Namespace
from typing import Any

from wagtailpaddle_cli.commands import EXPECTED_REVISION, WAIT, arg, command, finite
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.session import Session

COLUMNS = ("id", "rate", "burst", "active", "revision")
NAME = arg("name", help="name of the client account")
RATE_HELP = "requests per second across the fleet"
BURST_HELP = "largest burst of requests across the fleet"


@command("account list", "list client accounts")
async def list_accounts(session: Session, args: Namespace) -> ExitStatus:
    """Print all client accounts."""
    accounts = await session.get_all("accounts")
    session.show_table(accounts, COLUMNS, [_row(account) for account in accounts])
    return ExitStatus.OK


@command("account show", "show a client account and its keys", NAME)
async def show_account(session: Session, args: Namespace) -> ExitStatus:
    """Print one client account."""
    account = await session.get("accounts", args.name)
    account["keys"] = await session.get_all("accounts", args.name, "keys")
    active_keys = [key["id"] for key in account["keys"] if not key["withdrawn"]]
    session.show_table(account, (*COLUMNS, "keys"), [(*_row(account), active_keys)])
    return ExitStatus.OK


@command(
    "account create",
    "create a client account",
    NAME,
    arg("--rate", type=finite, required=True, help=RATE_HELP),
    arg("--burst", type=finite, required=True, help=BURST_HELP),
    WAIT,
)
async def create_account(session: Session, args: Namespace) -> ExitStatus:
    """Create a client account; fail if it exists."""
    fields = {"rate": args.rate, "burst": args.burst}
    result = await session.change(
        "PUT", ("accounts", args.name), fields, must_be_new=True, wait_s=args.wait
    )
    return session.report_change(
        f"client account {args.name}", result, wait_s=args.wait
    )


@command(
    "account set",
    "change rate or burst of a client account",
    NAME,
    arg("--rate", type=finite, help=RATE_HELP),
    arg("--burst", type=finite, help=BURST_HELP),
    EXPECTED_REVISION,
    WAIT,
)
async def set_account(session: Session, args: Namespace) -> ExitStatus:
    """Change the given fields of an existing client account."""
    fields = {"rate": args.rate, "burst": args.burst}
    fields = {name: value for name, value in fields.items() if value is not None}
    if not fields:
        raise CommandError(ExitStatus.USAGE, "specify --rate or --burst")
    await session.get("accounts", args.name)
    return await _change(session, args, "PUT", (), fields)


@command(
    "account cancel",
    "cancel a client account; it can be restored",
    NAME,
    EXPECTED_REVISION,
    WAIT,
)
async def cancel_account(session: Session, args: Namespace) -> ExitStatus:
    """Make a client account inactive."""
    return await _change(session, args, "POST", ("cancel",))


@command(
    "account restore",
    "restore a cancelled client account",
    NAME,
    EXPECTED_REVISION,
    WAIT,
)
async def restore_account(session: Session, args: Namespace) -> ExitStatus:
    """Make a cancelled client account active again, with its former fields."""
    return await _change(session, args, "POST", ("restore",))


async def _change(
    session: Session,
    args: Namespace,
    method: str,
    segments: tuple[str, ...],
    fields: dict[str, Any] | None = None,
) -> ExitStatus:
    result = await session.change(
        method,
        ("accounts", args.name, *segments),
        fields,
        expected=args.expected,
        wait_s=args.wait,
    )
    return session.report_change(
        f"client account {args.name}", result, wait_s=args.wait
    )


def _row(account: dict[str, Any]) -> tuple[Any, ...]:
    return tuple(account[column] for column in COLUMNS)
