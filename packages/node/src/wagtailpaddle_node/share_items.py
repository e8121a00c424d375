"""Encodes the holders of rate shares as snapshot items, and decodes them."""

from collections.abc import Iterable

from wagtailpaddle_config import SnapshotItem
from wagtailpaddle_core import Offset, VmId
from wagtailpaddle_quota import ShareEntry, ShareId

SHARES_SECTION = "shares"
HEAD_NAME = "head"


def items_from_shares(
    next_offset: Offset, entries: Iterable[ShareEntry]
) -> tuple[SnapshotItem, ...]:
    """Return snapshot items with the holder of each share."""
    head = SnapshotItem(SHARES_SECTION, HEAD_NAME, {"next_offset": next_offset})
    rows = tuple(
        SnapshotItem(
            SHARES_SECTION,
            f"{entry.share.group}/{entry.share.index}",
            {"holder": entry.holder, "revision": entry.revision},
        )
        for entry in entries
    )
    return (head, *rows)


def shares_from_items(
    items: Iterable[SnapshotItem],
) -> tuple[Offset, tuple[ShareEntry, ...]]:
    """Return the next offset and the share holders from snapshot items.

    Items of other sections are skipped. Raises ``ValueError``.
    """
    next_offset: Offset = 0
    entries = []
    try:
        for item in items:
            if item.section != SHARES_SECTION:
                continue
            if item.name == HEAD_NAME:
                next_offset = int(item.table["next_offset"])
                continue
            group, _, index = item.name.partition("/")
            share = ShareId(int(group), int(index))
            holder = VmId(str(item.table["holder"]))
            entries.append(ShareEntry(share, holder, int(item.table["revision"])))
    except (LookupError, TypeError) as exc:
        raise ValueError(f"shares of a snapshot: {exc!r}") from None
    return next_offset, tuple(entries)
