"""Entry point of ``wagtailpaddle``."""

import argparse
import sys
from collections.abc import Sequence

from wagtailpaddle_config import hash_secret


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command; return its exit status."""
    parser = argparse.ArgumentParser(
        prog="wagtailpaddle", description="Operate a wagtailpaddle fleet."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("hash-token", help="hash an operator's token from stdin")
    args = parser.parse_args(argv)
    if args.command == "hash-token":
        print(hash_secret(sys.stdin.readline().strip()))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
