"""The fold of log records into the configuration in force."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from wagtailpaddle_core import Offset, ensure

from wagtailpaddle_config.changes import APPLIERS, Effect, changed_object
from wagtailpaddle_config.dedupe import RecentResults
from wagtailpaddle_config.document import DocumentError, Layer
from wagtailpaddle_config.layers import Layers, Objects, build_objects
from wagtailpaddle_config.model import Configuration, Key
from wagtailpaddle_config.persistent_map import PersistentMap
from wagtailpaddle_config.records import Record, SnapshotItem
from wagtailpaddle_config.results import Applied, Result, Void, VoidCode, VoidError
from wagtailpaddle_config.route_index import changed_prefixes
from wagtailpaddle_config.state import (
    LastChange,
    SnapshotError,
    State,
    decode_state,
    encode_state,
)


class ConfigFold:
    """Folds the ``config`` stream for one site.

    The base, the site's overlay and the operators' changes of single objects
    are merged into the objects in force. Folding a record costs time in
    proportion to the objects it touches, and folding a published document in
    proportion to its size. Whether a record is void does not depend on the site.

    >>> fold = ConfigFold(site="namur")
    >>> fold.skip(0)
    >>> fold.next_offset
    1
    """

    def __init__(self, *, site: str):
        self.site = site
        self.configuration = Configuration()
        self._layers = Layers()
        self._last_changes: dict[str, LastChange] = {}
        self._results = RecentResults()

    @property
    def next_offset(self) -> Offset:
        """The offset of the next record to fold."""
        return self.configuration.revision

    @property
    def layers(self) -> Layers:
        """The layers that are merged into the objects in force."""
        return self._layers

    def documents(self) -> tuple[Layer, ...]:
        """Return the layers of this site with their origins, for ``resolve``."""
        return self._layers.documents(self.site)

    def revision_of(self, name: str) -> Offset:
        """Return the offset of the last change of an object, -1 if none.

        Names are ``account/x``, ``route/x``, ``service/x``, ``key/x``,
        ``base`` and ``overlay/x``.
        """
        last_change = self._last_changes.get(name)
        return -1 if last_change is None else last_change.offset

    def author_of(self, name: str) -> str:
        """Return the author of the last change of an object, '' if there is none."""
        last_change = self._last_changes.get(name)
        return "" if last_change is None else last_change.author

    def result_of(self, record_id: str) -> Result | None:
        """Return the result of a record.

        None if it was not folded or lies more than ``DEDUPE_WINDOW`` offsets
        back.
        """
        return self._results.get(record_id)

    def skip(self, offset: Offset) -> None:
        """Skip a record that is not part of the configuration."""
        self._advance(offset)

    def apply(self, offset: Offset, record: Record) -> Result:
        """Fold the record at ``offset``, which must be the next one."""
        ensure(offset == self.next_offset, "config-offset-order", offset=offset)
        rejected = self._results.find_rejection(offset, record)
        result = rejected or self._apply(offset, record)
        self._results.add(result)
        self._advance(offset)
        return result

    def snapshot_items(self) -> tuple[SnapshotItem, ...]:
        """Return the whole state, in the same order on every VM."""
        state = State(
            layers=self._layers,
            last_changes=self._last_changes,
            keys=self.configuration.keys,
            results=self._results.all(),
        )
        return encode_state(state)

    def restore(self, upto: Offset, items: Iterable[SnapshotItem]) -> None:
        """Replace the state by that of a snapshot at ``upto``.

        Items of unknown sections are ignored: they belong to other packages.
        Raises ``SnapshotError`` and leaves the state unchanged if an item is
        malformed.
        """
        ensure(
            upto >= self.next_offset,
            "config-revision-monotonic",
            old=self.next_offset,
            new=upto,
        )
        state = decode_state(items)
        self._check_keys(state)
        try:
            objects = build_objects(
                state.layers, state.layers.keys_of(self.site), self.site
            )
        except DocumentError as exc:
            raise SnapshotError(f"snapshot at {upto}: {exc}") from None
        self._layers = state.layers
        self._last_changes = dict(state.last_changes)
        self._results = RecentResults()
        for result in state.results:
            self._results.add(result)
        empty = Configuration()
        self.configuration = replace(_with_objects(empty, objects), revision=upto)
        self._put_keys(state.keys.values())

    def _check_keys(self, state: State) -> None:
        """Raise ``SnapshotError`` if a withdrawn key is valid or missing."""
        for key in self.configuration.keys.values():
            new = state.keys.get(key.id)
            if key.withdrawn and (new is None or not new.withdrawn):
                raise SnapshotError(f"snapshot re-enables withdrawn key {key.id!r}")

    def _apply(self, offset: Offset, record: Record) -> Result:
        name = changed_object(record.change)
        current = self.revision_of(name)
        if record.expected is not None and record.expected != current:
            return self._conflict(offset, record, name, current)
        try:
            applier = APPLIERS[type(record.change).__name__]
            effect = applier(self, offset, record.change)
        except VoidError as exc:
            return Void(record.id, offset, exc.reason, exc.code, exc.problems)
        self._commit(offset, record, name, effect)
        return Applied(record.id, offset)

    def _conflict(
        self, offset: Offset, record: Record, name: str, current: Offset
    ) -> Void:
        winner = self.author_of(name)
        reason = f"{name} is at revision {current}, not {record.expected}"
        if winner:
            reason = f"{reason}; {winner!r} changed it"
        return Void(
            record.id,
            offset,
            reason,
            VoidCode.CONFLICT,
            current=current,
            winner=winner,
        )

    def _commit(
        self, offset: Offset, record: Record, name: str, effect: Effect
    ) -> None:
        last_change = LastChange(offset, record.author)
        self._last_changes[name] = last_change
        for key in effect.objects:
            self._last_changes[object_name(key)] = last_change
        if effect.layers is not None:
            self._layers = effect.layers
            self.configuration = _with_objects(self.configuration, effect.objects)
        if effect.key is not None:
            self._put_keys([effect.key])

    def _put_keys(self, keys: Iterable[Key]) -> None:
        cfg = self.configuration
        new = {key.id: key for key in keys}
        for key in new.values():
            old = cfg.keys.get(key.id)
            ensure(
                old is None or not old.withdrawn or key.withdrawn,
                "config-key-stays-withdrawn",
                key=key.id,
            )
        by_hash = {key.secret_hash: key.id for key in new.values()}
        self.configuration = replace(
            cfg,
            keys=_updated(cfg.keys, new),
            key_by_hash=_updated(cfg.key_by_hash, by_hash),
        )

    def _advance(self, offset: Offset) -> None:
        ensure(
            offset == self.configuration.revision,
            "config-revision-monotonic",
            old=self.configuration.revision,
            new=offset + 1,
        )
        self.configuration = replace(self.configuration, revision=offset + 1)


def object_name(key: tuple[str, str]) -> str:
    """Return the name under which an object's revision is stored.

    >>> object_name(("accounts", "x"))
    'account/x'
    """
    section, name = key
    return f"{section.removesuffix('s')}/{name}"


def _updated(old: Any, changed: Any, removed: Iterable[str] = ()) -> Any:
    if not isinstance(old, PersistentMap):
        old = PersistentMap(old)
    return old.updated(changed, removed)


def _with_objects(cfg: Configuration, objects: Objects) -> Configuration:
    """Return ``cfg`` with ``objects`` added or replaced; None removes one."""
    fields: dict[str, Any] = {}
    for section in ("accounts", "routes", "services"):
        part = {key.name: obj for key, obj in objects.items() if key.section == section}
        if not part:
            continue
        changed = {name: obj for name, obj in part.items() if obj is not None}
        removed = [name for name, obj in part.items() if obj is None]
        old = getattr(cfg, section)
        if section == "routes":
            prefixes = changed_prefixes(cfg.routes_by_path, old, part)
            kept = {prefix: routes for prefix, routes in prefixes.items() if routes}
            emptied = [prefix for prefix, routes in prefixes.items() if not routes]
            fields["routes_by_path"] = _updated(cfg.routes_by_path, kept, emptied)
        fields[section] = _updated(old, changed, removed)
    return replace(cfg, **fields)
