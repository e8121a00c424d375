"""Commands on configuration, both in local files and in force in the fleet."""

from argparse import Namespace
from typing import Any

from wagtailpaddle_config import Layer, Resolved, check_documents, resolve

from wagtailpaddle_cli.commands import arg, command, never
from wagtailpaddle_cli.exitstatus import CommandError, ExitStatus
from wagtailpaddle_cli.files import read_document, site_name
from wagtailpaddle_cli.session import Session
from wagtailpaddle_cli.tomltext import render_value

BASE = arg("base", help="TOML file of the base")
OVERLAYS = arg(
    "overlays",
    nargs="*",
    help="TOML files of overlays; each file name is the name of the site",
)
FILES = arg("files", nargs="*", help="TOML files: the base, then overlays")
SITE = arg(
    "--site",
    action="append",
    default=[],
    help="use the configuration in force at a site",
)
SECTIONS = ("accounts", "routes", "services")
SECTION = arg("--section", choices=SECTIONS, help="show only this section")
ABSENT = "(absent)"
MAX_READ_ATTEMPTS = 3


def has_site(args: Namespace) -> bool:
    """Return whether a command reads the configuration in force at a site."""
    return bool(args.site)


@command(
    "config check",
    "check a base and overlays in files",
    BASE,
    OVERLAYS,
    is_remote=never,
)
async def check_config(session: Session, args: Namespace) -> ExitStatus:
    """Check a base and overlays by the rules that daemons apply."""
    base = read_document(args.base)
    overlays = {site_name(name): read_document(name) for name in args.overlays}
    problems = check_documents(base, overlays)
    if problems:
        listed_problems = [
            {"path": item.path, "value": repr(item.value), "rule": item.rule}
            for item in problems
        ]
        detail = "\n  ".join([f"{len(problems)} problems", *map(str, problems)])
        raise CommandError(ExitStatus.REFUSED, detail, {"problems": listed_problems})
    sites = ", ".join(overlays) or "no overlay"
    session.show({"problems": []}, f"{args.base} with {sites}: valid")
    return ExitStatus.OK


@command(
    "config show",
    "show the merged configuration and the layer that defines each value",
    FILES,
    SITE,
    SECTION,
    is_remote=has_site,
)
async def show_config(session: Session, args: Namespace) -> ExitStatus:
    """Print every value with the layer that defines it."""
    if len(args.site) + bool(args.files) != 1 or len(args.files) > 2:
        raise CommandError(
            ExitStatus.USAGE, "specify a base and one overlay, or one --site"
        )
    if args.site:
        resolved = await _fetch_in_force(session, args.site[0], args.section)
    else:
        resolved = _from_files(args.files)
    values = flatten(resolved.document)
    rows = [
        (path, render_value(value), resolved.origins.get(path, ""))
        for path, value in sorted(values.items())
        if is_in_section(args.section, path)
    ]
    json_value = {"document": resolved.document, "origins": resolved.origins}
    session.show_table(json_value, ("value", "is", "from"), rows)
    return ExitStatus.OK


@command(
    "config diff",
    "compare two overlays, files with the configuration in force, or two sites",
    FILES,
    SITE,
    SECTION,
    is_remote=has_site,
)
async def diff_config(session: Session, args: Namespace) -> ExitStatus:
    """Print the values that differ between two merged configurations.

    The arguments are a base and two overlays, a base with an optional overlay
    and a site, or two sites.
    """
    sides = []
    match (len(args.files), len(args.site)):
        case (3, 0):
            base, left, right = args.files
            sides = [(name, _from_files([base, name])) for name in (left, right)]
        case (1 | 2, 1):
            sides = [(" + ".join(args.files), _from_files(args.files))]
        case (0, 2):
            pass
        case _:
            raise CommandError(
                ExitStatus.USAGE,
                "specify a base and two overlays, files and one --site, or two --site",
            )
    for site in args.site:
        in_force = await _fetch_in_force(session, site, args.section)
        sides.append((f"in force at {site}", in_force))
    (left_name, left_side), (right_name, right_side) = sides
    rows = [
        row
        for row in differences(left_side.document, right_side.document)
        if is_in_section(args.section, row[0])
    ]
    json_value = [{"path": path, "left": a, "right": b} for path, a, b in rows]
    if rows:
        session.show_table(json_value, ("value", left_name, right_name), rows)
    else:
        session.show(json_value, f"{left_name} and {right_name} are the same")
    return ExitStatus.OK


def is_in_section(section: str | None, path: str) -> bool:
    """Return whether a value belongs to ``section``; None stands for all sections."""
    return section is None or path.startswith(f"{section}.")


def flatten(document: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    """Return the values of a document by their dotted path.

    >>> flatten({"accounts": {"x": {"rate": 5.0}}})
    {'accounts.x.rate': 5.0}
    """
    values: dict[str, Any] = {}
    for key, value in document.items():
        if isinstance(value, dict) and value:
            values.update(flatten(value, f"{prefix}{key}."))
        elif not isinstance(value, dict):
            values[f"{prefix}{key}"] = value
    return values


def differences(
    left: dict[str, Any], right: dict[str, Any]
) -> list[tuple[str, str, str]]:
    """Return the path and both TOML texts of each value that differs, sorted."""
    left_values, right_values = flatten(left), flatten(right)
    return [
        (path, _value_text(left_values, path), _value_text(right_values, path))
        for path in sorted({*left_values, *right_values})
        if path not in left_values
        or path not in right_values
        or left_values[path] != right_values[path]
    ]


def _value_text(values: dict[str, Any], path: str) -> str:
    return render_value(values[path]) if path in values else ABSENT


def _from_files(names: list[str]) -> Resolved:
    layers = [Layer("base", read_document(names[0]))]
    layers += [
        Layer(f"overlay:{site_name(name)}", read_document(name)) for name in names[1:]
    ]
    return resolve(layers)


async def _fetch_in_force(session: Session, site: str, section: str | None) -> Resolved:
    for _ in range(MAX_READ_ATTEMPTS):
        resolved = await _try_fetch_in_force(session, site, section)
        if resolved is not None:
            return resolved
    raise CommandError(
        ExitStatus.REFUSED, "the configuration changed while it was read"
    )


async def _try_fetch_in_force(
    session: Session, site: str, section: str | None
) -> Resolved | None:
    """Return the configuration in force, None if it changed between two pages."""
    document: dict[str, Any] = {}
    origins: dict[str, str] = {}
    revisions = set()
    for name in [section] if section else SECTIONS:
        tables = {}
        async for page in session.iter_pages("configuration", name, site=site):
            tables.update({item["name"]: item["table"] for item in page["objects"]})
            origins.update(page["origins"])
            revisions.add(page["revision"])
        if tables:
            document[name] = tables
    return Resolved(document, origins) if len(revisions) == 1 else None
