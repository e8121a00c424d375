"""Configuration documents in local files."""

import tomllib
from pathlib import Path
from typing import Any

from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus


def read_document(name: str) -> dict[str, Any]:
    """Return the parsed contents of a TOML file. Raises ``CommandError``."""
    try:
        with Path(name).open("rb") as file:
            return tomllib.load(file)
    except OSError as exc:
        raise CommandError(ExitStatus.USAGE, f"{name}: {exc.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise CommandError(ExitStatus.REFUSED, f"{name}: not TOML: {exc}") from None


def site_name(name: str) -> str:
    """Return the name of the site from the name of its overlay file.

    >>> site_of("overlays/namur.toml")
    'namur'
    """
    return Path(name).stem
