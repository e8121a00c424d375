"""Commands on operators' tokens."""

import sys
from argparse import Namespace

from wagtailpaddle_config import hash_secret

from wagtailpaddle_cli.commands import command, never
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.session import Session


@command("hash-token", "hash an operator's token from stdin", is_remote=never)
async def hash_token(session: Session, args: Namespace) -> ExitStatus:
    """Print the hash of a token, for ``--operators`` of the daemon."""
    token = sys.stdin.readline().strip()
    if not token:
        raise CommandError(ExitStatus.USAGE, "no token on standard input")
    if not token.isascii() or not token.isprintable() or " " in token:
        detail = "a token must consist of printable ASCII characters without spaces"
        raise CommandError(ExitStatus.USAGE, detail)
    digest = hash_secret(token)
    session.show({"sha256": digest}, digest)
    return ExitStatus.OK
