"""Runs the report; the exit status is 1 if a promise was broken."""

import argparse
from pathlib import Path

from wagtailpaddle_standins.report.plot import plot
from wagtailpaddle_standins.report.runs import record_run
from wagtailpaddle_standins.report.text import format_report, write_histograms

SITES = ("namur", "returhuset")


def main() -> int:
    """Run the deployments, print the tables and write the files."""
    parser = argparse.ArgumentParser(
        prog="python -m wagtailpaddle_standins.report", description=__doc__
    )
    parser.add_argument("--site", action="append", help="site [default: both examples]")
    parser.add_argument("--seed", type=int, default=1, help="seed of faults and load")
    parser.add_argument("--output", type=Path, default=Path("build/report"))
    args = parser.parse_args()
    args.output.mkdir(parents=True, exist_ok=True)
    runs = []
    pages = []
    for site in args.site or SITES:
        run = record_run(site, args.seed)
        runs.append(run)
        pages.append(format_report(run, args.seed))
        print(pages[-1] + "\n", flush=True)
        write_histograms(run, args.output)
    (args.output / "report.txt").write_text("\n\n".join(pages) + "\n")
    plot(runs, args.output / "report.png")
    print(f"report.txt, report.png and histograms are in {args.output}")
    return 1 if any(run.broken for run in runs) else 0


if __name__ == "__main__":
    raise SystemExit(main())
