"""Encoding and decoding of the fold's state as snapshot items."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec
from wagtailpaddle_core import KeyId, Offset, Registry

from wagtailpaddle_config.document import SECTIONS
from wagtailpaddle_config.layers import Layers, OperatorEntry
from wagtailpaddle_config.model import Key
from wagtailpaddle_config.persistent_map import PersistentMap
from wagtailpaddle_config.records import Document, SnapshotItem
from wagtailpaddle_config.results import Applied, Result, Void, VoidCode


class SnapshotError(ValueError):
    """Raised for a malformed or inconsistent snapshot."""


@dataclass(frozen=True, slots=True)
class LastChange:
    """Offset and author of the last change of an object."""

    offset: Offset
    author: str


@dataclass(frozen=True, slots=True)
class State:
    """The whole state that later records depend on; the same at every site."""

    layers: Layers
    last_changes: Mapping[str, LastChange]
    keys: Mapping[KeyId, Key]
    results: tuple[Result, ...]


class _Draft:
    """The mutable state into which the items of a snapshot are decoded."""

    __slots__ = (
        "base",
        "kept",
        "keys",
        "last_changes",
        "operator",
        "overlays",
        "results",
        "revived",
    )

    def __init__(
        self,
        base: dict[str, dict[str, Document]],
        overlays: dict[str, Document],
        operator: dict[str, dict[str, OperatorEntry]],
        kept: dict[str, dict[str, Document]],
        revived: dict[str, dict[str, Document]],
        last_changes: dict[str, LastChange],
        keys: dict[KeyId, Key],
        results: list[Result],
    ) -> None:
        self.base = base
        self.overlays = overlays
        self.operator = operator
        self.kept = kept
        self.revived = revived
        self.last_changes = last_changes
        self.keys = keys
        self.results = results


def encode_state(state: State) -> tuple[SnapshotItem, ...]:
    """Return the items of a snapshot, in the same order on every VM."""
    layers = state.layers
    items: list[SnapshotItem] = []
    for section in SECTIONS:
        items += _items(f"base.{section}", layers.base.get(section, {}))
        entries = {
            name: {
                "fields": entry.fields,
                "origins": dict(entry.origins),
                "created": entry.created,
            }
            for name, entry in layers.operator[section].items()
        }
        items += _items(f"operator.{section}", entries)
        items += _items(f"kept.{section}", layers.kept[section])
        items += _items(f"revived.{section}", layers.revived[section])
    items += _items("overlay", layers.overlays)
    items += _items("mark", {name: _table(m) for name, m in state.last_changes.items()})
    items += _items("key", {name: _table(key) for name, key in state.keys.items()})
    items += [_result_item(result) for result in state.results]
    return tuple(items)


def decode_state(items: Iterable[SnapshotItem]) -> State:
    """Decode the state of a snapshot. Raises ``SnapshotError``."""
    draft = _Draft({}, {}, {}, {}, {}, {}, {}, [])
    for item in items:
        kind, _, section = item.section.partition(".")
        if kind not in READERS:
            continue
        try:
            READERS[kind](draft, section, item)
        except (msgspec.ValidationError, LookupError, TypeError) as exc:
            where = f"{item.section}/{item.name}"
            raise SnapshotError(
                f"snapshot item {where!r} is malformed: {exc!r}"
            ) from None
    layers = Layers(
        base=draft.base,
        overlays=dict(sorted(draft.overlays.items())),
        operator=_maps(draft.operator),
        kept=_maps(draft.kept),
        revived=_maps(draft.revived),
    )
    results = sorted(draft.results, key=lambda result: result.offset)
    return State(layers, draft.last_changes, draft.keys, tuple(results))


def _items(section: str, tables: Mapping[str, Document]) -> list[SnapshotItem]:
    return [SnapshotItem(section, name, tables[name]) for name in sorted(tables)]


def _maps(sections: Mapping[str, Mapping[str, Any]]) -> dict[str, PersistentMap[Any]]:
    return {section: PersistentMap(sections.get(section, {})) for section in SECTIONS}


def _table(value: Any) -> Document:
    return {name: getattr(value, name) for name in value.__dataclass_fields__}


def _result_item(result: Result) -> SnapshotItem:
    table: Document = {"offset": result.offset}
    if isinstance(result, Void):
        table["reason"] = result.reason
        table["code"] = result.code.value
        table["current"] = result.current
        table["winner"] = result.winner
    return SnapshotItem("result", result.record_id, table)


Reader = Callable[[_Draft, str, SnapshotItem], None]
READERS: Registry[Reader] = Registry("snapshot section")


@READERS.register("base")
def _read_base(draft: _Draft, section: str, item: SnapshotItem) -> None:
    draft.base.setdefault(section, {})[item.name] = item.table


@READERS.register("operator")
def _read_operator(draft: _Draft, section: str, item: SnapshotItem) -> None:
    entry = msgspec.convert(item.table, OperatorEntry)
    draft.operator.setdefault(section, {})[item.name] = entry


@READERS.register("kept")
def _read_kept(draft: _Draft, section: str, item: SnapshotItem) -> None:
    draft.kept.setdefault(section, {})[item.name] = item.table


@READERS.register("revived")
def _read_revived(draft: _Draft, section: str, item: SnapshotItem) -> None:
    draft.revived.setdefault(section, {})[item.name] = item.table


@READERS.register("overlay")
def _read_overlay(draft: _Draft, section: str, item: SnapshotItem) -> None:
    draft.overlays[item.name] = item.table


@READERS.register("mark")
def _read_mark(draft: _Draft, section: str, item: SnapshotItem) -> None:
    draft.last_changes[item.name] = msgspec.convert(item.table, LastChange)


@READERS.register("key")
def _read_key(draft: _Draft, section: str, item: SnapshotItem) -> None:
    draft.keys[KeyId(item.name)] = msgspec.convert(item.table, Key)


@READERS.register("result")
def _read_result(draft: _Draft, section: str, item: SnapshotItem) -> None:
    offset = msgspec.convert(item.table["offset"], int)
    if "code" not in item.table:
        draft.results.append(Applied(item.name, offset))
        return
    void = Void(
        item.name,
        offset,
        msgspec.convert(item.table["reason"], str),
        VoidCode(item.table["code"]),
        current=msgspec.convert(item.table["current"], int | None),
        winner=msgspec.convert(item.table["winner"], str),
    )
    draft.results.append(void)
