"""The registry of commands."""

import argparse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import isfinite
from typing import Any

from wagtailpaddle_core import Registry

from wagtailpaddle_cli.exits import Exit
from wagtailpaddle_cli.session import Session

Run = Callable[[Session, argparse.Namespace], Awaitable[Exit]]


@dataclass(frozen=True, slots=True)
class Argument:
    """One argument of a command, as ``argparse`` takes it."""

    flags: tuple[str, ...]
    options: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Command:
    """A command: what it takes, what it does and whether it asks a daemon."""

    name: str
    help: str
    arguments: tuple[Argument, ...]
    run: Run
    is_remote: Callable[[argparse.Namespace], bool]


COMMANDS: Registry[Command] = Registry("command")


def arg(*flags: str, **options: Any) -> Argument:
    """Declare an argument of a command."""
    return Argument(flags, options)


def always(_args: argparse.Namespace) -> bool:
    """Tell that a command asks a daemon whatever its arguments."""
    return True


def never(_args: argparse.Namespace) -> bool:
    """Tell that a command works on local files only."""
    return False


def command(
    name: str,
    help: str,
    *arguments: Argument,
    is_remote: Callable[[argparse.Namespace], bool] = always,
) -> Callable[[Run], Run]:
    """Return a decorator that files a function as the command ``name``."""

    def decorate(run: Run) -> Run:
        COMMANDS.register(name)(Command(name, help, arguments, run, is_remote))
        return run

    return decorate


def finite(text: str) -> float:
    """Return a number as ``argparse`` takes it. Raises ``ValueError``."""
    number = float(text)
    if not isfinite(number):
        raise ValueError(text)
    return number


EXPECTED = arg(
    "--expected",
    type=int,
    metavar="REVISION",
    help="change it only if this is still its revision",
)
WAIT = arg(
    "--wait",
    type=finite,
    default=0.0,
    metavar="SECONDS",
    help="wait until the change is in force, at most so long [default: 0]",
)
