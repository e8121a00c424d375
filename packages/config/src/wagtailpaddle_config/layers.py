"""The layers that merge into the configuration in force, and their checks."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from functools import reduce
from typing import Any, NamedTuple

from wagtailpaddle_core import Offset

from wagtailpaddle_config.builders import BUILDERS
from wagtailpaddle_config.document import (
    SECTIONS,
    DocumentError,
    Layer,
    Problem,
    merge,
)
from wagtailpaddle_config.persistent_map import PersistentMap
from wagtailpaddle_config.records import Document

NO_OVERLAY_SITE = ""
"""The name that stands for any site without an overlay."""


class ObjectKey(NamedTuple):
    """Section and name of an object."""

    section: str
    name: str


Objects = Mapping[ObjectKey, Any]
"""Frozen objects by key; None stands for one that is not in force."""


@dataclass(frozen=True, slots=True)
class OperatorEntry:
    """The fields of one object that operators set.

    ``origins`` holds the offset at which each field was last changed.
    ``created`` objects are in force even if no document defines them.
    """

    fields: Document
    origins: Mapping[str, Offset]
    created: bool = False


def _sections() -> dict[str, Any]:
    return {section: PersistentMap() for section in SECTIONS}


@dataclass(frozen=True, slots=True)
class Layers:
    """All layers of accounts, routes and services in the log.

    From lowest to highest precedence: ``revived`` tables, which were restored
    together with a client account, ``base``, ``overlays`` by site, and
    ``operator`` entries. ``kept`` holds tables that an earlier base defined and
    the current one does not; they are not in force. Every VM holds the overlays
    of all sites, because whether a record is void must not depend on the site.
    """

    base: Document = field(default_factory=dict)
    overlays: Mapping[str, Document] = field(default_factory=dict)
    operator: Mapping[str, PersistentMap[OperatorEntry]] = field(
        default_factory=_sections
    )
    kept: Mapping[str, PersistentMap[Document]] = field(default_factory=_sections)
    revived: Mapping[str, PersistentMap[Document]] = field(default_factory=_sections)

    def table(self, key: ObjectKey, site: str) -> Document | None:
        """Return the merged table of an object, None if it is not in force."""
        section, name = key
        entry = self.operator[section].get(name)
        tables = [
            table
            for table in (
                self.revived[section].get(name),
                self.base.get(section, {}).get(name),
                self.overlays.get(site, {}).get(section, {}).get(name),
            )
            if table is not None
        ]
        if not tables and (entry is None or not entry.created):
            return None
        if entry is not None:
            tables.append(entry.fields)
        return reduce(merge, tables)

    def is_known(self, key: ObjectKey) -> bool:
        """Return whether an object is in force at any site, or is kept."""
        section, name = key
        return (
            name in self.base.get(section, {})
            or name in self.operator[section]
            or name in self.kept[section]
            or name in self.revived[section]
            or bool(self.sites_defining(key))
        )

    def sites_defining(self, key: ObjectKey) -> list[str]:
        """Return the sites whose overlay defines an object, in order."""
        section, name = key
        return [
            site
            for site, overlay in self.overlays.items()
            if name in overlay.get(section, {})
        ]

    def names(self, section: str, site: str) -> list[str]:
        """Return the names of all objects that may be in force at a site."""
        created = (
            name for name, entry in self.operator[section].items() if entry.created
        )
        found = {
            *self.revived[section],
            *self.base.get(section, {}),
            *self.overlays.get(site, {}).get(section, {}),
            *created,
        }
        return sorted(found)

    def keys_of(self, site: str) -> list[ObjectKey]:
        """Return the objects that may be in force at a site."""
        return [
            ObjectKey(section, name)
            for section in SECTIONS
            for name in self.names(section, site)
        ]

    def all_keys(self) -> list[ObjectKey]:
        """Return the objects that may be in force at any site."""
        keys = {
            key
            for site in (NO_OVERLAY_SITE, *self.overlays)
            for key in self.keys_of(site)
        }
        return sorted(keys)

    def with_entry(self, key: ObjectKey, entry: OperatorEntry | None) -> "Layers":
        """Return a copy with one operator entry set, or removed if it is None."""
        section, name = key
        old = self.operator[section]
        changed = {} if entry is None else {name: entry}
        new = old.updated(changed, removed=[] if entry else [name])
        return replace(self, operator={**self.operator, section: new})

    def with_base(self, base: Document) -> "Layers":
        """Return a copy with another base.

        Tables that only the old base defines move to ``kept``.
        """
        kept, revived = dict(self.kept), dict(self.revived)
        for section in SECTIONS:
            old, new = self.base.get(section, {}), base.get(section, {})
            dropped = {name: old[name] for name in old if name not in new}
            redefined = [name for name in new if name in kept[section]]
            kept[section] = kept[section].updated(dropped, removed=redefined)
            no_longer_revived = [name for name in dropped if name in revived[section]]
            revived[section] = revived[section].updated({}, removed=no_longer_revived)
        return replace(self, base=base, kept=kept, revived=revived)

    def with_overlay(self, site: str, overlay: Document) -> "Layers":
        """Return a copy with another overlay for one site."""
        overlays = {**self.overlays, site: overlay}
        return replace(self, overlays=dict(sorted(overlays.items())))

    def with_revived(self, keys: Iterable[ObjectKey]) -> "Layers":
        """Return a copy with the kept tables of ``keys`` in force again."""
        revived = dict(self.revived)
        for section, name in keys:
            table = self.kept[section][name]
            revived[section] = revived[section].updated({name: table})
        return replace(self, revived=revived)

    def documents(self, site: str) -> tuple[Layer, ...]:
        """Return the layers of a site, lowest first, for ``resolve``."""
        layers = [
            Layer("kept", {name: dict(part) for name, part in self.revived.items()}),
            Layer("base", self.base),
        ]
        if site in self.overlays:
            layers.append(Layer(f"overlay:{site}", self.overlays[site]))
        layers.extend(self._operator_layers(site))
        return tuple(layer for layer in layers if any(layer.document.values()))

    def _operator_layers(self, site: str) -> Iterator[Layer]:
        by_offset: dict[Offset, Document] = {}
        for section, entries in self.operator.items():
            for name, entry in entries.items():
                if self.table(ObjectKey(section, name), site) is None:
                    continue
                for key, offset in entry.origins.items():
                    part = {section: {name: {key: entry.fields[key]}}}
                    by_offset[offset] = merge(by_offset.get(offset, {}), part)
        for offset in sorted(by_offset):
            yield Layer(f"operator@{offset}", by_offset[offset])


def check_shape(where: str, document: Any) -> list[Problem]:
    """Return the problems with the sections and tables of a document."""
    if not isinstance(document, dict):
        return [Problem(where, document, "must be a table")]
    problems = []
    for section, tables in document.items():
        if section not in SECTIONS:
            rule = f"is not a known section; known: {', '.join(SECTIONS)}"
            problems.append(Problem(f"{where}{section}", section, rule))
        elif not isinstance(tables, dict):
            problems.append(Problem(f"{where}{section}", tables, "must be a table"))
        else:
            problems.extend(
                Problem(f"{where}{section}.{name}", table, "must be a table")
                for name, table in tables.items()
                if not isinstance(table, dict)
            )
    return problems


def changed_keys(old: Document, new: Document) -> set[ObjectKey]:
    """Return the keys of objects that differ between two documents."""
    return {
        ObjectKey(section, name)
        for section in SECTIONS
        for name in {*old.get(section, {}), *new.get(section, {})}
        if old.get(section, {}).get(name) != new.get(section, {}).get(name)
    }


def build_objects(layers: Layers, keys: Iterable[ObjectKey], site: str) -> Objects:
    """Build objects for one site. Raises ``DocumentError`` with all problems."""
    problems: list[Problem] = []
    built: dict[ObjectKey, Any] = {}
    for key in sorted(keys):
        table = layers.table(key, site)
        if table is None:
            built[key] = None
            continue
        try:
            built[key] = BUILDERS[key.section](key.name, table)
        except DocumentError as exc:
            problems.extend(exc.problems)
    problems.extend(_reference_problems(layers, built, site))
    if problems:
        raise DocumentError(tuple(problems))
    return built


def _reference_problems(layers: Layers, built: Objects, site: str) -> list[Problem]:
    problems = []
    for key, route in built.items():
        if key.section != "routes" or route is None:
            continue
        for service in route.services():
            if layers.table(ObjectKey("services", service), site) is None:
                path = f"routes.{key.name}.service"
                problems.append(Problem(path, service, "names no service"))
        problems.extend(
            Problem(f"routes.{key.name}.accounts", account, "names no client account")
            for account in route.accounts
            if not layers.is_known(ObjectKey("accounts", account))
        )
    return problems


def check_touched(
    layers: Layers, touched: set[ObjectKey], *, site: str = NO_OVERLAY_SITE
) -> Objects:
    """Check the objects that a change touches and return those of ``site``.

    Every object must be valid without an overlay and with the overlay of each
    site that defines it. Raises ``DocumentError`` with the problems of all
    sites.
    """
    touched = touched | _routes_of_lost_services(layers, touched)
    keys_by_site: dict[str, set[ObjectKey]] = {NO_OVERLAY_SITE: touched}
    for overlay_site, overlay in layers.overlays.items():
        keys = {key for key in touched if key.name in overlay.get(key.section, {})}
        if keys:
            keys_by_site[overlay_site] = keys
    objects: dict[ObjectKey, Any] = {}
    problems: dict[tuple[str, str], Problem] = {}
    for name in sorted(keys_by_site):
        try:
            built = build_objects(layers, keys_by_site[name], name)
        except DocumentError as exc:
            for problem in exc.problems:
                _add_problem(problems, problem, name)
            continue
        if name in (NO_OVERLAY_SITE, site):
            objects.update(built)
    if problems:
        raise DocumentError(tuple(problems.values()))
    return objects


def _add_problem(
    problems: dict[tuple[str, str], Problem], problem: Problem, site: str
) -> None:
    if site == NO_OVERLAY_SITE:
        problems[problem.path, problem.rule] = problem
    elif (problem.path, problem.rule) not in problems:
        where = f"overlay:{site}: {problem.path}"
        problems[where, problem.rule] = replace(problem, path=where)


def _routes_of_lost_services(layers: Layers, touched: set[ObjectKey]) -> set[ObjectKey]:
    """Return the routes to touched services that are no longer in force.

    All routes are scanned. This is rare, because only publishing a document
    can remove a service.
    """
    sites = (NO_OVERLAY_SITE, *layers.overlays)
    lost = {
        (site, key.name)
        for site in sites
        for key in touched
        if key.section == "services" and layers.table(key, site) is None
    }
    if not lost:
        return set()
    found = set()
    for site in sites:
        for name in layers.names("routes", site):
            key = ObjectKey("routes", name)
            service = (layers.table(key, site) or {}).get("service")
            if isinstance(service, str) and (site, service) in lost:
                found.add(key)
    return found
