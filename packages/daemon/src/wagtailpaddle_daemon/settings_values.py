"""Parsers of settings: each turns a text into a checked value."""

import re
from collections.abc import Callable
from ipaddress import AddressValueError, IPv4Address

MAX_SECONDS = 86400.0
MAX_PORT = 65535


class SettingError(ValueError):
    """A setting has an invalid value; the message states the allowed ones."""


def read_text(value: str) -> str:
    """Return a text that is not empty."""
    if not value:
        raise SettingError("a non-empty text")
    return value


def read_any_text(value: str) -> str:
    """Return the text, which may be empty."""
    return value


def read_address(value: str) -> str:
    """Return ``host:port`` where the host is the IPv4 address of one interface."""
    rule = f"IPv4 address:port of one interface, port from 1 to {MAX_PORT}"
    host, _, port = value.rpartition(":")
    try:
        number = IPv4Address(host)
    except AddressValueError:
        raise SettingError(rule) from None
    if number.is_unspecified or not re.fullmatch(r"[0-9]{1,5}", port):
        raise SettingError(rule)
    if not 0 < int(port) <= MAX_PORT:
        raise SettingError(rule)
    return value


def read_url(value: str) -> str:
    """Return an HTTP URL without trailing slashes."""
    if not re.fullmatch(r"https?://[^/\s]+(/\S*)?", value):
        raise SettingError("an http or https URL")
    return value.rstrip("/")


def read_count(value: str) -> int:
    """Return an integer of at least 1."""
    if not re.fullmatch(r"[0-9]{1,18}", value) or int(value) < 1:
        raise SettingError("an integer of at least 1")
    return int(value)


def read_seconds(value: str) -> float:
    """Return seconds above 0 and below one day."""
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 < number < MAX_SECONDS:
        raise SettingError(f"seconds above 0 and below {MAX_SECONDS:g}")
    return number


def read_fraction(value: str) -> float:
    """Return a fraction above 0 and at most 1."""
    try:
        number = float(value)
    except ValueError:
        number = -1.0
    if not 0 < number <= 1:
        raise SettingError("a fraction above 0 and at most 1")
    return number


def one_of(*names: str) -> Callable[[str], str]:
    """Return a parser that accepts only ``names``."""

    def read(value: str) -> str:
        if value not in names:
            raise SettingError("one of " + ", ".join(names))
        return value

    return read


def read_operators(value: str) -> dict[str, str]:
    """Return a mapping from operators' names to the hashes of their tokens."""
    operators: dict[str, str] = {}
    for entry in filter(None, value.split(",")):
        name, _, digest = entry.partition("=")
        if not name or name in operators or not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise SettingError(
                "comma-separated name=SHA-256 of the token in hex, each name once"
            )
        operators[name] = digest
    return operators


def read_yes_no(value: str) -> bool:
    """Return whether ``value`` is ``yes`` rather than ``no``."""
    if value not in ("yes", "no"):
        raise SettingError("yes or no")
    return value == "yes"
