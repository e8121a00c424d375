"""Appliers: how each kind of change alters the state, and when it is void."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from wagtailpaddle_core import Offset, Registry

from wagtailpaddle_config.document import (
    MAX_REPORTED_PROBLEMS,
    DocumentError,
    Problem,
    merge,
)
from wagtailpaddle_config.layers import (
    NO_OVERLAY_SITE,
    Layers,
    ObjectKey,
    Objects,
    OperatorEntry,
    changed_keys,
    check_shape,
    check_touched,
)
from wagtailpaddle_config.model import Configuration, Key
from wagtailpaddle_config.records import (
    CancelAccount,
    Change,
    Document,
    IssueKey,
    PublishBase,
    PublishOverlay,
    PutAccount,
    PutRoute,
    RemoveRoute,
    RestoreAccount,
    WithdrawKey,
)
from wagtailpaddle_config.results import VoidCode, VoidError


@dataclass(frozen=True, slots=True)
class Effect:
    """The state that a valid change alters.

    ``objects`` are those of the fold's site; None marks one that is no longer
    in force.
    """

    layers: Layers | None = None
    objects: Objects = field(default_factory=dict)
    key: Key | None = None


class FoldView(Protocol):
    """The part of the fold that appliers read."""

    site: str
    configuration: Configuration

    @property
    def layers(self) -> Layers:
        """The layers before the change."""


Applier = Callable[[FoldView, Offset, Any], Effect]
APPLIERS: Registry[Applier] = Registry("change")
"""Appliers by the class name of the change. They raise ``VoidError``."""


def changed_object(change: Change) -> str:
    """Return the name of the object that a change alters.

    ``Record.expected`` refers to the revision of this object.
    """
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


def check_documents(
    base: Document, overlays: dict[str, Document] | None = None
) -> tuple[Problem, ...]:
    """Return all problems of a base and the overlays of sites.

    The fold applies the same checks to a published document.

    >>> [str(problem) for problem in check_documents({"acounts": {}})]
    ["acounts: 'acounts': is not a known section; known: accounts, routes, services"]
    """
    layers = Layers()
    problems = list(check_shape("", base))
    if not problems:
        layers = layers.with_base(base)
    for site, overlay in (overlays or {}).items():
        faults = check_shape(f"overlay:{site}: ", overlay)
        problems.extend(faults)
        if not faults:
            layers = layers.with_overlay(site, overlay)
    if problems:
        return tuple(problems)
    try:
        check_touched(layers, set(layers.all_keys()))
    except DocumentError as exc:
        return exc.problems
    return ()


def check_change(
    layers: Layers, change: PublishBase | PublishOverlay
) -> tuple[Problem, ...]:
    """Return the problems that would make publishing a document void now."""
    try:
        _publish(layers, change, NO_OVERLAY_SITE)
    except VoidError as exc:
        return exc.problems
    return ()


def _checked(layers: Layers, touched: set[ObjectKey], site: str) -> Effect:
    try:
        objects = check_touched(layers, touched, site=site)
    except DocumentError as exc:
        raise _invalid(exc.problems) from None
    return Effect(layers=layers, objects=objects)


def _invalid(problems: tuple[Problem, ...]) -> VoidError:
    listed = problems[:MAX_REPORTED_PROBLEMS]
    reason = "; ".join(str(problem) for problem in listed)
    if len(problems) > len(listed):
        reason = f"{reason}; and {len(problems) - len(listed)} more"
    return VoidError(VoidCode.INVALID, reason, listed)


def _put(fold: FoldView, offset: Offset, key: ObjectKey, fields: Any) -> Effect:
    layers = fold.layers
    path = f"{key.section}.{key.name}"
    if not isinstance(fields, dict):
        raise _invalid((Problem(path, fields, "must be a table"),))
    old = layers.operator[key.section].get(key.name, OperatorEntry({}, {}))
    is_present = layers.table(key, NO_OVERLAY_SITE) is not None
    entry = OperatorEntry(
        fields=merge(old.fields, fields),
        origins={**old.origins, **dict.fromkeys(fields, offset)},
        created=old.created or not is_present,
    )
    return _checked(layers.with_entry(key, entry), {key}, fold.site)


@APPLIERS.register("PutAccount")
def _put_account(fold: FoldView, offset: Offset, change: PutAccount) -> Effect:
    key = ObjectKey("accounts", change.account)
    return _put(fold, offset, key, change.fields)


@APPLIERS.register("PutRoute")
def _put_route(fold: FoldView, offset: Offset, change: PutRoute) -> Effect:
    key = ObjectKey("routes", change.route)
    return _put(fold, offset, key, change.fields)


@APPLIERS.register("CancelAccount")
def _cancel_account(fold: FoldView, offset: Offset, change: CancelAccount) -> Effect:
    key = _require_account(fold, change.account)
    layers = _with_active(fold.layers, offset, key, False)
    return _checked(layers, {key}, fold.site)


@APPLIERS.register("RestoreAccount")
def _restore_account(fold: FoldView, offset: Offset, change: RestoreAccount) -> Effect:
    key = _require_account(fold, change.account)
    layers = fold.layers
    touched = {key}
    if layers.table(key, NO_OVERLAY_SITE) is None:
        touched |= _kept_routes_of(layers, key)
        layers = layers.with_revived(touched & _kept_keys(layers))
    if layers.table(key, NO_OVERLAY_SITE) is None and not layers.sites_defining(key):
        reason = f"client account {change.account!r} has no rate and burst any more"
        raise VoidError(VoidCode.MISSING, reason)
    return _checked(_with_active(layers, offset, key, True), touched, fold.site)


def _with_active(
    layers: Layers, offset: Offset, key: ObjectKey, active: bool
) -> Layers:
    old = layers.operator[key.section].get(key.name, OperatorEntry({}, {}))
    entry = OperatorEntry(
        fields={**old.fields, "active": active},
        origins={**old.origins, "active": offset},
        created=old.created,
    )
    return layers.with_entry(key, entry)


def _kept_keys(layers: Layers) -> set[ObjectKey]:
    return {
        ObjectKey(section, name)
        for section, tables in layers.kept.items()
        for name in tables
    }


def _kept_routes_of(layers: Layers, account: ObjectKey) -> set[ObjectKey]:
    """Return the kept routes of an account whose service is still in force."""
    found = set()
    for name, table in layers.kept["routes"].items():
        service = ObjectKey("services", table.get("service", ""))
        route = ObjectKey("routes", name)
        is_its_own = account.name in table.get("accounts", ())
        is_absent = layers.table(route, NO_OVERLAY_SITE) is None
        if (
            is_its_own
            and is_absent
            and layers.table(service, NO_OVERLAY_SITE) is not None
        ):
            found.add(route)
    return found


@APPLIERS.register("RemoveRoute")
def _remove_route(fold: FoldView, offset: Offset, change: RemoveRoute) -> Effect:
    key = ObjectKey("routes", change.route)
    if change.route not in fold.layers.operator["routes"]:
        reason = f"route {change.route!r} was not put by an operator"
        raise VoidError(VoidCode.MISSING, reason)
    return _checked(fold.layers.with_entry(key, None), {key}, fold.site)


@APPLIERS.register("IssueKey")
def _issue_key(fold: FoldView, offset: Offset, change: IssueKey) -> Effect:
    _require_account(fold, change.account)
    cfg = fold.configuration
    if change.key in cfg.keys:
        reason = f"key {change.key!r} exists already"
        raise VoidError(VoidCode.CONFLICT, reason)
    if change.secret_hash in cfg.key_by_hash:
        reason = f"the secret of key {change.key!r} is that of another key"
        raise VoidError(VoidCode.CONFLICT, reason)
    key = Key(id=change.key, account=change.account, secret_hash=change.secret_hash)
    return Effect(key=key)


@APPLIERS.register("WithdrawKey")
def _withdraw_key(fold: FoldView, offset: Offset, change: WithdrawKey) -> Effect:
    key = fold.configuration.keys.get(change.key)
    if key is None:
        raise VoidError(VoidCode.MISSING, f"key {change.key!r} does not exist")
    withdrawn = Key(
        id=key.id, account=key.account, secret_hash=key.secret_hash, withdrawn=True
    )
    return Effect(key=withdrawn)


@APPLIERS.register("PublishBase")
def _publish_base(fold: FoldView, offset: Offset, change: PublishBase) -> Effect:
    return _publish(fold.layers, change, fold.site)


@APPLIERS.register("PublishOverlay")
def _publish_overlay(fold: FoldView, offset: Offset, change: PublishOverlay) -> Effect:
    return _publish(fold.layers, change, fold.site)


def _publish(layers: Layers, change: PublishBase | PublishOverlay, site: str) -> Effect:
    faults = check_shape("", change.document)
    if faults:
        raise _invalid(tuple(faults))
    if isinstance(change, PublishBase):
        touched = changed_keys(layers.base, change.document)
        return _checked(layers.with_base(change.document), touched, site)
    if not change.site:
        raise _invalid((Problem("site", change.site, "must be named"),))
    old = layers.overlays.get(change.site, {})
    touched = changed_keys(old, change.document)
    return _checked(layers.with_overlay(change.site, change.document), touched, site)


def _require_account(fold: FoldView, account: str) -> ObjectKey:
    key = ObjectKey("accounts", account)
    if not fold.layers.is_known(key):
        reason = f"client account {account!r} does not exist"
        raise VoidError(VoidCode.MISSING, reason)
    return key
