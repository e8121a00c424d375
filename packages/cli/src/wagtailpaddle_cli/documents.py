"""Commands on published configuration documents."""

from argparse import Namespace

from wagtailpaddle_cli.commands import EXPECTED, WAIT, arg, command
from wagtailpaddle_cli.exitstatus import Exit
from wagtailpaddle_cli.files import read_document
from wagtailpaddle_cli.session import Session
from wagtailpaddle_cli.tomltext import render_toml

SITE = arg("site", help="name of the site")
FILE = arg("file", help="TOML file")


@command("base publish", "replace the base of all sites", FILE, EXPECTED, WAIT)
async def publish_base(session: Session, args: Namespace) -> Exit:
    """Publish a base document."""
    document = read_document(args.file)
    done = await session.change(
        "PUT", ("base",), document, expected=args.expected, wait_s=args.wait
    )
    return session.finish("base", done, wait_s=args.wait)


@command("base show", "show the published base")
async def show_base(session: Session, args: Namespace) -> Exit:
    """Print the published base as TOML."""
    document = await session.ask("base")
    session.show(document, render_toml(document))
    return Exit.OK


@command("overlay publish", "replace a site's overlay", SITE, FILE, EXPECTED, WAIT)
async def publish_overlay(session: Session, args: Namespace) -> Exit:
    """Publish an overlay document."""
    document = read_document(args.file)
    done = await session.change(
        "PUT",
        ("overlays", args.site),
        document,
        expected=args.expected,
        wait_s=args.wait,
    )
    return session.finish(f"overlay {args.site}", done, wait_s=args.wait)


@command("overlay list", "list the sites that have an overlay")
async def list_overlays(session: Session, args: Namespace) -> Exit:
    """Print the names of sites with an overlay."""
    found = await session.ask("overlays")
    session.show_table(found, ("site",), [[site] for site in found["sites"]])
    return Exit.OK


@command("overlay show", "show a site's published overlay", SITE)
async def show_overlay(session: Session, args: Namespace) -> Exit:
    """Print a published overlay as TOML."""
    document = await session.ask("overlays", args.site)
    session.show(document, render_toml(document))
    return Exit.OK
