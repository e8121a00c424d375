"""The registry of commands, and arguments that several commands share."""

import argparse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import isfinite
from typing import Any

from wagtailpaddle_core import Registry

from wagtailpaddle_cli.exitstatus import ExitStatus
from wagtailpaddle_cli.session import Session

CommandFunction = Callable[[Session, argparse.Namespace], Awaitable[ExitStatus]]


@dataclass(frozen=True, slots=True)
class Argument:
    """The parameters of ``add_argument`` for one argument of a command."""

    flags: tuple[str, ...]
    options: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Command:
    """A registered command; ``is_remote`` returns whether it calls a daemon."""

    name: str
    help: str
    arguments: tuple[Argument, ...]
    run: CommandFunction
    is_remote: Callable[[argparse.Namespace], bool]


COMMANDS: Registry[Command] = Registry("command")


def arg(*flags: str, **options: Any) -> Argument:
    """Declare an argument of a command."""
    return Argument(flags, options)


def always(_args: argparse.Namespace) -> bool:
    """Return True: the command calls a daemon with any arguments."""
    return True


def never(_args: argparse.Namespace) -> bool:
    """Return False: the command calls no daemon with any arguments."""
    return False


def command(
    name: str,
    help: str,
    *arguments: Argument,
    is_remote: Callable[[argparse.Namespace], bool] = always,
) -> Callable[[CommandFunction], CommandFunction]:
    """Return a decorator that registers a function as the command ``name``."""

    def decorate(run: CommandFunction) -> CommandFunction:
        COMMANDS.register(name)(Command(name, help, arguments, run, is_remote))
        return run

    return decorate


def finite(text: str) -> float:
    """Parse a finite number. Raises ``ValueError``, which ``argparse`` reports."""
    number = float(text)
    if not isfinite(number):
        raise ValueError(text)
    return number


EXPECTED_REVISION = arg(
    "--expected",
    type=int,
    metavar="REVISION",
    help="change the object only if it still has this revision",
)
WAIT = arg(
    "--wait",
    type=finite,
    default=0.0,
    metavar="SECONDS",
    help="longest wait until the change is in force [default: 0]",
)
