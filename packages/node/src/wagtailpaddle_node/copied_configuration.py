"""The configuration of a VM, built from its copies of the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from wagtailpaddle_config import (
    ConfigDocument,
    Configuration,
    ServersByService,
    build_configuration,
    with_servers,
)
from wagtailpaddle_core import Offset
from wagtailpaddle_replica import Change

from wagtailpaddle_node.evacuations import EvacuationChange, Evacuations
from wagtailpaddle_node.event_log import EventLog


@dataclass(frozen=True, slots=True)
class DocumentConfiguration:
    """The configuration built from a version of the document, without servers."""

    version: int
    cfg: Configuration


def document_version(value: Any) -> int | None:
    """Return the order of the operators' documents; None for any other value."""
    return value.version if isinstance(value, ConfigDocument) else None


class CopiedConfiguration:
    """The newest document and the evacuations, and the configuration built from them.

    The version of the document never falls. Both are of the same collection, so a
    VM that starts learns the evacuations together with its first document.
    """

    def __init__(self, events: EventLog):
        self.document: ConfigDocument | None = None
        self.current = Configuration()
        self.evacuations = Evacuations()
        self._events = events
        self._revision: Offset = 0
        self._document_cfg: DocumentConfiguration | None = None
        self._keeps_missing = False

    def apply(
        self,
        now: float,
        changes: Iterable[Change],
        values: Mapping[str, Any],
        age_s: float,
        *,
        rewritten_at: float = float("-inf"),
    ) -> bool:
        """Apply changes of the collection; return whether ``current`` is outdated.

        ``values`` are all values of the collection, ``age_s`` is the age of the copy.
        What is missing before ``rewritten_at`` may be lost and not yet written again.
        """
        applied = [self._apply_document(item.value, age_s) for item in changes]
        self._keeps_missing = now < rewritten_at
        return self._apply_evacuations(now, values, age_s) or any(applied)

    def expire(
        self, now: float, values: Mapping[str, Any], age_s: float, rewritten_at: float
    ) -> bool:
        """End what was not written again; return whether ``current`` is outdated."""
        if not self._keeps_missing or now < rewritten_at:
            return False
        self._keeps_missing = False
        return self._apply_evacuations(now, values, age_s)

    def build(self, servers: ServersByService) -> Configuration | None:
        """Build and return ``current``, or None without a document."""
        if self.document is None:
            return None
        self._revision += 1
        if (
            self._document_cfg is None
            or self._document_cfg.version != self.document.version
        ):
            self._document_cfg = DocumentConfiguration(
                self.document.version,
                build_configuration(self.document, self._revision),
            )
        document_cfg = replace(
            self._document_cfg.cfg,
            revision=self._revision,
            evacuated=self.evacuations.zones,
        )
        self.current = with_servers(document_cfg, servers, self.current)
        return self.current

    def _apply_evacuations(
        self, now: float, values: Mapping[str, Any], age_s: float
    ) -> bool:
        changes = self.evacuations.apply(
            now, values.values(), keeps_missing=self._keeps_missing
        )
        for change in changes:
            self._record(change, age_s)
        return bool(changes)

    def _apply_document(self, value: Any, age_s: float) -> bool:
        known = self.document
        if not isinstance(value, ConfigDocument) or (
            known is not None and value.version <= known.version
        ):
            return False
        self.document = value
        self._events.record(
            "Configuration in force.",
            version=value.version,
            age_s=round(age_s, 3),
            routes=len(value.routes),
            accounts=len(value.accounts),
        )
        return True

    def _record(self, change: EvacuationChange, age_s: float) -> None:
        facts = {"zone": change.zone, "age_s": round(age_s, 3)}
        if change.is_evacuated:
            self._events.record("Zone evacuated.", **facts)
            return
        lasted_s = round(change.lasted_s, 3)
        self._events.record("Zone restored.", **facts, lasted_s=lasted_s)
