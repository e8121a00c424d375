"""Holders of the shares that were handed over since their last records."""

from collections.abc import Iterator

from wagtailpaddle_core import VmId

from wagtailpaddle_quota.messages import ShareEntry, ShareHint, ShareId


class HolderHints:
    """The latest known holder of each share handed over since its last record.

    Hints tell which VMs to request tokens from and which shares are not vacant.
    They never allow a VM to spend tokens, so a wrong or outdated hint costs no
    more than one message.

    >>> hints = HolderHints()
    >>> hints.update(ShareHint(ShareId(0, 0), "a", 5, 2))
    True
    >>> hints.update(ShareHint(ShareId(0, 0), "b", 5, 1))
    False
    """

    def __init__(self) -> None:
        self._hints: dict[ShareId, ShareHint] = {}

    def __iter__(self) -> Iterator[ShareHint]:
        return iter(self._hints.values())

    def update(self, hint: ShareHint) -> bool:
        """Store a hint; return False if it is not newer than the stored one."""
        known = self._hints.get(hint.share)
        version = (hint.revision, hint.hop)
        if known is not None and (known.revision, known.hop) >= version:
            return False
        self._hints[hint.share] = hint
        return True

    def holder(self, entry: ShareEntry) -> VmId:
        """Return the holder of the share whose last record is ``entry``."""
        hint = self._hints.get(entry.share)
        if hint is None or hint.revision < entry.revision:
            return entry.holder
        return hint.holder

    def on_entry(self, entry: ShareEntry) -> None:
        """Discard the hint for a share that has a later record."""
        hint = self._hints.get(entry.share)
        if hint is not None and hint.revision < entry.revision:
            del self._hints[entry.share]
