"""The fold from log records to the configuration in force."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from wagtailpaddle_core import Offset, Registry, ensure

from wagtailpaddle_config.document import (
    SECTIONS,
    DocumentError,
    Problem,
    build_account,
    build_route,
    build_service,
    merge,
)
from wagtailpaddle_config.model import Configuration, Key, Route
from wagtailpaddle_config.records import (
    CancelAccount,
    Change,
    Document,
    IssueKey,
    PublishBase,
    PublishOverlay,
    PutAccount,
    PutRoute,
    Record,
    RemoveRoute,
    RestoreAccount,
    WithdrawKey,
)

C = TypeVar("C")

BUILDERS: Registry[Callable[[str, Document], Any]] = Registry("section")
BUILDERS.register("accounts")(build_account)
BUILDERS.register("routes")(build_route)
BUILDERS.register("services")(build_service)


@dataclass(frozen=True, slots=True)
class Applied:
    """A record that took effect."""

    record_id: str
    offset: Offset


@dataclass(frozen=True, slots=True)
class Void:
    """A record without effect, and why; the same for every reader."""

    record_id: str
    offset: Offset
    reason: str


class ConfigFold:
    """Folds the ``config`` stream for one site.

    Three layers merge into the objects in force: the base document, the
    overlay of the site, and what operators changed object by object. The cost
    of a record follows from the objects that it touches.
    """

    def __init__(self, *, site: str):
        self.site = site
        self.configuration = Configuration()
        self._layers: list[Document] = [{}, {}, {}]
        self._revisions: dict[str, Offset] = {}
        self._seen: dict[str, Applied | Void] = {}

    @property
    def next_offset(self) -> Offset:
        """The offset of the record that must be folded next."""
        return self.configuration.revision

    def revision_of(self, name: str) -> Offset:
        """Return the offset of the last change of an object, -1 if none."""
        return self._revisions.get(name, -1)

    def result_of(self, record_id: str) -> Applied | Void | None:
        """Return what became of a record, or None if it was not folded."""
        return self._seen.get(record_id)

    def apply(self, offset: Offset, record: Record) -> Applied | Void:
        """Fold the record at ``offset``, which must be the next one."""
        ensure(offset == self.next_offset, "config-offset-order", offset=offset)
        result = self._apply(offset, record)
        self._seen.setdefault(record.id, result)
        self._advance(offset + 1)
        return result

    def _apply(self, offset: Offset, record: Record) -> Applied | Void:
        if record.id in self._seen:
            return Void(record.id, offset, f"record {record.id!r} stands twice")
        name = object_name(record.change)
        current = self.revision_of(name)
        if record.expected is not None and record.expected != current:
            reason = f"{name} is at revision {current}, not {record.expected}"
            return Void(record.id, offset, reason)
        try:
            APPLIERS[type(record.change).__name__](self, record.change)
        except (DocumentError, LookupError) as exc:
            return Void(record.id, offset, str(exc))
        self._revisions[name] = offset
        return Applied(record.id, offset)

    def _advance(self, revision: Offset) -> None:
        ensure(
            revision > self.configuration.revision,
            "config-revision-monotonic",
            old=self.configuration.revision,
            new=revision,
        )
        self._set(revision=revision)

    def _set(self, **fields: Any) -> None:
        old = self.configuration
        names = Configuration.__dataclass_fields__
        values = {name: getattr(old, name) for name in names}
        self.configuration = Configuration(**{**values, **fields})

    def _put(self, section: str, name: str, fields: Document) -> None:
        layer = self._layers[2]
        candidate = merge(layer, {section: {name: fields}})
        self._replace_layer(2, candidate)

    def _replace_layer(self, index: int, layer: Document) -> None:
        layers = [*self._layers]
        layers[index] = layer
        merged = merge(merge(layers[0], layers[1]), layers[2])
        built = build_sections(merged)
        self._layers = layers
        by_path = index_routes(built["routes"].values())
        self._set(**built, routes_by_path=by_path)

    def _set_key(self, key: Key) -> None:
        keys = {**self.configuration.keys, key.id: key}
        by_hash = {**self.configuration.key_by_hash, key.secret_hash: key.id}
        self._set(keys=keys, key_by_hash=by_hash)


def build_sections(merged: Document) -> dict[str, dict[str, Any]]:
    """Return the objects of a merged document by section and name.

    Raises ``DocumentError`` with every problem that was found.
    """
    problems: list[Problem] = []
    built: dict[str, dict[str, Any]] = {}
    for section in SECTIONS:
        built[section] = {}
        for name, table in merged.get(section, {}).items():
            try:
                built[section][name] = BUILDERS[section](name, table)
            except DocumentError as exc:
                problems.extend(exc.problems)
    if problems:
        raise DocumentError(tuple(problems))
    return built


def index_routes(routes: Any) -> dict[str, tuple[Route, ...]]:
    """Return routes by path prefix, those that name a host first."""
    by_path: dict[str, tuple[Route, ...]] = {}
    for route in sorted(routes, key=lambda item: (not item.host, item.id)):
        prefix = route.path.rstrip("/")
        by_path[prefix] = (*by_path.get(prefix, ()), route)
    return by_path


Applier = Callable[[ConfigFold, Any], None]
APPLIERS: Registry[Applier] = Registry("change")


def object_name(change: Change) -> str:
    """Return the name of the object whose revision a change advances."""
    match change:
        case PutAccount() | CancelAccount() | RestoreAccount():
            return f"account/{change.account}"
        case PutRoute() | RemoveRoute():
            return f"route/{change.route}"
        case IssueKey() | WithdrawKey():
            return f"key/{change.key}"
        case PublishBase():
            return "base"
        case PublishOverlay():
            return f"overlay/{change.site}"


@APPLIERS.register("PutAccount")
def _put_account(fold: ConfigFold, change: PutAccount) -> None:
    fold._put("accounts", change.account, change.fields)


@APPLIERS.register("CancelAccount")
def _cancel_account(fold: ConfigFold, change: CancelAccount) -> None:
    _require_account(fold, change.account)
    fold._put("accounts", change.account, {"active": False})


@APPLIERS.register("RestoreAccount")
def _restore_account(fold: ConfigFold, change: RestoreAccount) -> None:
    _require_account(fold, change.account)
    fold._put("accounts", change.account, {"active": True})


@APPLIERS.register("PutRoute")
def _put_route(fold: ConfigFold, change: PutRoute) -> None:
    fold._put("routes", change.route, change.fields)


@APPLIERS.register("RemoveRoute")
def _remove_route(fold: ConfigFold, change: RemoveRoute) -> None:
    routes = dict(fold._layers[2].get("routes", {}))
    if change.route not in routes:
        raise LookupError(f"route {change.route!r} was not put by an operator")
    del routes[change.route]
    fold._replace_layer(2, {**fold._layers[2], "routes": routes})


@APPLIERS.register("IssueKey")
def _issue_key(fold: ConfigFold, change: IssueKey) -> None:
    _require_account(fold, change.account)
    if change.key in fold.configuration.keys:
        raise LookupError(f"key {change.key!r} exists already")
    fold._set_key(
        Key(id=change.key, account=change.account, secret_hash=change.secret_hash)
    )


@APPLIERS.register("WithdrawKey")
def _withdraw_key(fold: ConfigFold, change: WithdrawKey) -> None:
    key = fold.configuration.keys.get(change.key)
    if key is None:
        raise LookupError(f"key {change.key!r} does not exist")
    fold._set_key(
        Key(
            id=key.id,
            account=key.account,
            secret_hash=key.secret_hash,
            withdrawn=True,
        )
    )


@APPLIERS.register("PublishBase")
def _publish_base(fold: ConfigFold, change: PublishBase) -> None:
    fold._replace_layer(0, change.document)


@APPLIERS.register("PublishOverlay")
def _publish_overlay(fold: ConfigFold, change: PublishOverlay) -> None:
    if change.site == fold.site:
        fold._replace_layer(1, change.document)


def _require_account(fold: ConfigFold, account: str) -> None:
    if account not in fold.configuration.accounts:
        raise LookupError(f"client account {account!r} does not exist")
