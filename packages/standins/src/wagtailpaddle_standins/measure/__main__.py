"""Runs registered measures and prints their reports."""

import argparse
import importlib
import pkgutil
import time
from collections.abc import Sequence

import wagtailpaddle_standins.measure as package
from wagtailpaddle_standins.measure.registry import LONG_MEASURES, MEASURES


def load_measures() -> None:
    """Import every module of this package, so that each registers its measures."""
    for module in pkgutil.iter_modules(package.__path__):
        if module.name != "__main__":
            importlib.import_module(f"{package.__name__}.{module.name}")


def parse(argv: Sequence[str] | None) -> argparse.Namespace:
    """Parse the names of the measures and the seed from the command line."""
    parser = argparse.ArgumentParser(prog="wagtailpaddle_standins.measure")
    parser.add_argument("names", nargs="*", help="default: all but long ones")
    parser.add_argument("--seed", type=int, default=1, help="seed of every measure")
    return parser.parse_args(argv)


def main(argv: Sequence[str] | None = None) -> None:
    """Run the measures that the command line names."""
    load_measures()
    args = parse(argv)
    for name in args.names or MEASURES.names():
        started_at = time.monotonic()
        print(f"== {name} (seed {args.seed})", flush=True)
        registry = LONG_MEASURES if name in LONG_MEASURES else MEASURES
        for line in registry[name](args.seed):
            print(line, flush=True)
        print(f"-- {name} took {time.monotonic() - started_at:.1f} s", flush=True)


if __name__ == "__main__":
    main()
