"""Commands on published configuration documents."""

from argparse import Namespace

from wagtailpaddle_cli.commands import EXPECTED_REVISION, WAIT, arg, command
from wagtailpaddle_cli.exitstatus import ExitStatus
from wagtailpaddle_cli.files import read_document
from wagtailpaddle_cli.session import Session
from wagtailpaddle_cli.tomltext import render_toml

SITE = arg("site", help="name of the site")
FILE = arg("file", help="TOML file")


@command("base publish", "replace the base of all sites", FILE, EXPECTED_REVISION, WAIT)
async def publish_base(session: Session, args: Namespace) -> ExitStatus:
    """Publish a base document."""
    document = read_document(args.file)
    result = await session.change(
        "PUT", ("base",), document, expected=args.expected, wait_s=args.wait
    )
    return session.report_change("base", result, wait_s=args.wait)


@command("base show", "show the published base")
async def show_base(session: Session, args: Namespace) -> ExitStatus:
    """Print the published base as TOML."""
    document = await session.get("base")
    session.show(document, render_toml(document))
    return ExitStatus.OK


@command(
    "overlay publish", "replace a site's overlay", SITE, FILE, EXPECTED_REVISION, WAIT
)
async def publish_overlay(session: Session, args: Namespace) -> ExitStatus:
    """Publish an overlay document."""
    document = read_document(args.file)
    result = await session.change(
        "PUT",
        ("overlays", args.site),
        document,
        expected=args.expected,
        wait_s=args.wait,
    )
    return session.report_change(f"overlay {args.site}", result, wait_s=args.wait)


@command("overlay list", "list the sites that have an overlay")
async def list_overlays(session: Session, args: Namespace) -> ExitStatus:
    """Print the names of sites with an overlay."""
    found = await session.get("overlays")
    session.show_table(found, ("site",), [[site] for site in found["sites"]])
    return ExitStatus.OK


@command("overlay show", "show a site's published overlay", SITE)
async def show_overlay(session: Session, args: Namespace) -> ExitStatus:
    """Print a published overlay as TOML."""
    document = await session.get("overlays", args.site)
    session.show(document, render_toml(document))
    return ExitStatus.OK
