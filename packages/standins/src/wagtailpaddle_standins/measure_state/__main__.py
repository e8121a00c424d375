"""Command line of the state measurements."""

import argparse
from importlib import import_module
from pkgutil import iter_modules

from wagtailpaddle_standins import measure_state
from wagtailpaddle_standins.measure_state.registry import MEASURES, Figure


def load_measures() -> None:
    """Import every module of this package, so that each registers its measures."""
    for module in iter_modules(measure_state.__path__):
        if module.name != "__main__":
            import_module(f"{measure_state.__name__}.{module.name}")


def line(figure: Figure) -> str:
    """Format a figure as one line of the output."""
    text = f"{figure.name:<60} {figure.value:>14.6g} {figure.unit}"
    if figure.target is None:
        return text
    verdict = "meets" if figure.value <= figure.target else "MISSES"
    return f"{text}  ({verdict} {figure.target:g})"


def main() -> None:
    """Run the chosen measures and print their figures."""
    load_measures()
    parser = argparse.ArgumentParser(prog="measure-state", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("measures", nargs="*", help="names; default: all")
    args = parser.parse_args()
    for name in args.measures or MEASURES.names():
        print(f"== {name} (seed {args.seed})", flush=True)
        for figure in MEASURES[name](args.seed):
            print(line(figure), flush=True)


if __name__ == "__main__":
    main()
