"""Entry point of ``wagtailpaddle``."""

import argparse
import os
import sys
from collections.abc import Coroutine, Sequence
from typing import Any

from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.parser import Access, build_parser, read_access
from wagtailpaddle_cli.session import Session


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status."""
    args = build_parser().parse_args(argv)
    local_session = Session(sys.stdout, as_json=args.json)
    try:
        if args.command.is_remote(args):
            return run_remote(args, read_access(args))
        return run_local(args.command.run(local_session, args))
    except CommandError as exc:
        return local_session.report_failure(exc, sys.stderr)
    except BrokenPipeError:
        sys.stdout = open(os.devnull, "w")  # noqa: SIM115
        return ExitStatus.OK


def run_local(coroutine: Coroutine[Any, Any, ExitStatus]) -> ExitStatus:
    """Run a command that calls no daemon, without an event loop."""
    try:
        coroutine.send(None)
    except StopIteration as exc:
        status: ExitStatus = exc.value
        return status
    coroutine.close()
    raise RuntimeError("a local command awaited an operation that was not complete")


def run_remote(args: argparse.Namespace, access: Access) -> ExitStatus:
    """Run a command that calls daemons, on the reactor."""
    from twisted.internet import reactor as installed_reactor
    from twisted.internet.defer import Deferred
    from twisted.internet.task import deferLater

    from wagtailpaddle_cli.client import HttpClient

    reactor: Any = installed_reactor
    client = HttpClient(
        reactor, access.addresses, access.token, timeout_s=access.timeout_s
    )
    session = Session(
        sys.stdout,
        as_json=args.json,
        client=client,
        sleep=lambda delay_s: deferLater(reactor, delay_s),
    )
    results: list[Any] = []

    def start_command() -> None:
        deferred = Deferred.fromCoroutine(args.command.run(session, args))
        deferred.addBoth(results.append)
        deferred.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start_command)
    reactor.run()
    return _exit_status(results)


def _exit_status(results: list[Any]) -> ExitStatus:
    if not results:
        raise CommandError(ExitStatus.UNKNOWN, "interrupted")
    result = results[0]
    if isinstance(result, ExitStatus):
        return result
    result.raiseException()
    raise AssertionError("Failure.raiseException returned")


if __name__ == "__main__":
    raise SystemExit(main())
