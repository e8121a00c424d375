"""Who holds the shares that were handed over since their last record."""

from collections.abc import Iterator

from wagtailpaddle_core import VmId

from wagtailpaddle_quota.messages import ShareEntry, ShareHint, ShareId


class HolderHints:
    """The latest holder heard of for each share that has no record yet.

    A hint says whom to ask for tokens and which shares are not vacant. It
    gives nobody the right to spend, so one that is wrong or late costs a
    message and no more.

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
        """Take in a hint; return False if a later one is known."""
        known = self._hints.get(hint.share)
        version = (hint.revision, hint.hop)
        if known is not None and (known.revision, known.hop) >= version:
            return False
        self._hints[hint.share] = hint
        return True

    def holder(self, entry: ShareEntry) -> VmId:
        """Return who holds a share whose last record is ``entry``."""
        hint = self._hints.get(entry.share)
        if hint is None or hint.revision < entry.revision:
            return entry.holder
        return hint.holder

    def on_entry(self, entry: ShareEntry) -> None:
        """Forget what a later record of a share says better."""
        hint = self._hints.get(entry.share)
        if hint is not None and hint.revision < entry.revision:
            del self._hints[entry.share]
