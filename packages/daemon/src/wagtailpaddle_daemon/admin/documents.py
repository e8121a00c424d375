"""Commands on the base document, the overlays and the merged configuration."""

from collections.abc import Iterator
from typing import Any

from wagtailpaddle_config import (
    Layer,
    Layers,
    PublishBase,
    PublishOverlay,
    check_change,
    resolve,
)

from wagtailpaddle_daemon.admin.bodies import parse_object
from wagtailpaddle_daemon.admin.context import HANDLERS, Context, list_page
from wagtailpaddle_daemon.admin.errors import invalid_document, not_found
from wagtailpaddle_daemon.admin.ports import Command, Reply


@HANDLERS.register("GET /v1/base")
async def show_base(context: Context, command: Command) -> Reply:
    """Show the base document, which applies to all sites."""
    fold = context.port.node.fold
    return Reply(fold.layers.base, revision=fold.revision_of("base"))


@HANDLERS.register("PUT /v1/base")
async def publish_base(context: Context, command: Command) -> Reply:
    """Replace the base document."""
    return await _publish(context, command, PublishBase(parse_object(command)))


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
    return await _publish(context, command, PublishOverlay(site, parse_object(command)))


@HANDLERS.register("GET /v1/configuration/<section>")
async def show_configuration(context: Context, command: Command, section: str) -> Reply:
    """Show a page of merged objects and the origin of each of their values.

    The query may name a ``site``; the default is the site of this daemon.
    """
    port = context.port
    site = command.query.get("site", port.cfg.site)
    layers = port.node.fold.layers
    revision = port.node.configuration.revision
    if section not in layers.operator:
        raise not_found("section", section)
    origins: dict[str, str] = {}

    def is_listed(name: str) -> bool:
        return bool(object_layers(layers, site, section, name))

    def show(name: str) -> Any:
        found = resolve(object_layers(layers, site, section, name))
        origins.update(found.origins)
        return {"name": name, "table": found.document[section][name]}

    names = object_names(layers, site, section)
    page = await list_page(
        context, command, names, show, "objects", is_listed=is_listed
    )
    return Reply({**page.value, "origins": origins, "revision": revision})


def object_names(layers: Layers, site: str, section: str) -> Iterator[str]:
    """Yield the names that any layer of a site defines, with duplicates."""
    yield from layers.revived[section]
    yield from layers.base.get(section, {})
    yield from layers.overlays.get(site, {}).get(section, {})
    yield from layers.operator[section]


def object_layers(
    layers: Layers, site: str, section: str, name: str
) -> tuple[Layer, ...]:
    """Return the layers of one object, empty if it is not in force at a site."""
    tables = (
        ("kept", layers.revived[section].get(name)),
        ("base", layers.base.get(section, {}).get(name)),
        (f"overlay:{site}", layers.overlays.get(site, {}).get(section, {}).get(name)),
    )
    defined = [
        Layer(origin, {section: {name: table}})
        for origin, table in tables
        if table is not None
    ]
    entry = layers.operator[section].get(name)
    if entry is None or not (defined or entry.created):
        return tuple(defined)
    for field, offset in sorted(entry.origins.items(), key=lambda item: item[1]):
        fields = {field: entry.fields[field]}
        defined.append(Layer(f"operator@{offset}", {section: {name: fields}}))
    return tuple(defined)


async def _publish(
    context: Context, command: Command, change: PublishBase | PublishOverlay
) -> Reply:
    problems = check_change(context.port.node.fold.layers, change)
    if problems:
        raise invalid_document(problems)
    return await context.change(command, change)
