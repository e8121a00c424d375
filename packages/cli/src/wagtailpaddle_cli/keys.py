"""Commands on API keys of client accounts."""

from argparse import Namespace

from wagtailpaddle_config import issue_key

from wagtailpaddle_cli.commands import WAIT, arg, command
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.session import Session

ACCOUNT = arg("account", help="name of the client account")


@command("key issue", "issue a key; its secret is shown only once", ACCOUNT, WAIT)
async def issue(session: Session, args: Namespace) -> ExitStatus:
    """Generate a secret, send only its hash to the daemon and print the secret."""
    key = issue_key()
    try:
        result = await session.change(
            "POST",
            ("accounts", args.account, "keys"),
            {"secret_hash": key.secret_hash},
            wait_s=args.wait,
        )
    except CommandError as exc:
        if exc.status is not ExitStatus.UNKNOWN:
            raise
        detail = f"{exc}; withdraw key {key.id} if it was issued"
        problem = {**exc.problem, "key": key.id}
        raise CommandError(exc.status, detail, problem) from None
    result["secret"] = key.secret
    subject = f"key {result.get('key', key.id)}\nsecret {key.secret}\nkey"
    return session.report_change(subject, result, wait_s=args.wait)


@command("key list", "list the keys of a client account", ACCOUNT)
async def list_keys(session: Session, args: Namespace) -> ExitStatus:
    """Print the keys of an account without their secrets, which are never stored."""
    keys = await session.get_all("accounts", args.account, "keys")
    columns = ("id", "withdrawn", "revision")
    rows = [[key[column] for column in columns] for key in keys]
    session.show_table(keys, columns, rows)
    return ExitStatus.OK


@command(
    "key withdraw", "withdraw a key permanently", arg("key", help="id of the key"), WAIT
)
async def withdraw(session: Session, args: Namespace) -> ExitStatus:
    """Withdraw a key permanently."""
    result = await session.change("DELETE", ("keys", args.key), wait_s=args.wait)
    return session.report_change(f"key {args.key}", result, wait_s=args.wait)
