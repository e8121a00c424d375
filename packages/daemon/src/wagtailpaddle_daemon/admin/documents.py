"""Commands on the base, the overlays and the configuration in force."""

from typing import Any

from wagtailpaddle_config import (
    Document,
    Layer,
    PublishBase,
    PublishOverlay,
    check_change,
    resolve,
)

from wagtailpaddle_daemon.admin.bodies import read_table
from wagtailpaddle_daemon.admin.context import HANDLERS, Context
from wagtailpaddle_daemon.admin.errors import bad_request, invalid, not_found
from wagtailpaddle_daemon.admin.ports import Command, Reply


@HANDLERS.register("GET /v1/base")
async def show_base(context: Context, command: Command) -> Reply:
    """Show the base document that all sites share."""
    fold = context.port.node.fold
    return Reply(fold.layers.base, revision=fold.revision_of("base"))


@HANDLERS.register("PUT /v1/base")
async def publish_base(context: Context, command: Command) -> Reply:
    """Replace the base document."""
    return await _publish(context, command, PublishBase(read_table(command)))


@HANDLERS.register("GET /v1/overlays")
async def list_overlays(context: Context, command: Command) -> Reply:
    """List the sites that have an overlay."""
    return Reply({"sites": sorted(context.port.node.fold.layers.overlays)})


@HANDLERS.register("GET /v1/overlays/<site>")
async def show_overlay(context: Context, command: Command, site: str) -> Reply:
    """Show the overlay of a site."""
    fold = context.port.node.fold
    overlay = fold.layers.overlays.get(site)
    if overlay is None:
        raise not_found("overlay", site)
    return Reply(overlay, revision=fold.revision_of(f"overlay/{site}"))


@HANDLERS.register("PUT /v1/overlays/<site>")
async def publish_overlay(context: Context, command: Command, site: str) -> Reply:
    """Replace the overlay of a site."""
    return await _publish(context, command, PublishOverlay(site, read_table(command)))


@HANDLERS.register("GET /v1/configuration")
async def show_configuration(context: Context, command: Command) -> Reply:
    """Show the merged configuration of a site and where each value comes from.

    The query may name a ``site``, a ``section`` and one object's ``name``.
    """
    port = context.port
    site = command.query.get("site", port.cfg.site)
    layers = port.node.fold.layers.documents(site)
    section = command.query.get("section")
    name = command.query.get("name")
    if name is not None and section is None:
        raise bad_request("name asks for a section as well")
    found = resolve(
        Layer(layer.origin, _part(layer.document, section, name)) for layer in layers
    )
    return Reply(
        {
            "site": site,
            "revision": port.node.configuration.revision,
            "document": found.document,
            "origins": found.origins,
        }
    )


def _part(document: Document, section: str | None, name: str | None) -> Document:
    if section is None:
        return document
    tables: Any = document.get(section, {})
    if name is None:
        return {section: tables}
    return {section: {name: tables[name]}} if name in tables else {}


async def _publish(
    context: Context, command: Command, change: PublishBase | PublishOverlay
) -> Reply:
    problems = check_change(context.port.node.fold.layers, change)
    if problems:
        raise invalid(problems)
    return await context.change(command, change)
