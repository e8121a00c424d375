"""When a VM that follows others reads the store itself."""

from math import inf
from random import Random

from wagtailpaddle_replica.messages import Collection

DEFAULT_APPLY_S = 2.0
"""A record must be known to every VM this long after the store acknowledged it."""

RELAY_MAX_AGE = 0.55
SUBSTITUTE_MAX_AGE = 0.15
"""Maximum age at a relay that reads in place of a reader that gives it nothing new."""

CURRENT_UPSTREAM_AGE = 0.7
CURRENT_READER_AGE = 0.35
"""An upstream, or a reader, whose copy is older cannot reach the store either."""

FOLLOWER_MAX_AGE = 1.2
ORPHAN_MAX_AGE = 0.7
SPREAD = 0.1
"""Reads of many VMs at the same time are spread over this time."""


class OwnReads:
    """Decides at which age a VM reads the store instead of waiting for its upstream.

    All ages are fractions of ``apply_s``. A follower gets changes at once while its
    upstream is current, although its copy is proven current only later. It is an
    orphan if its upstream does not answer or has an old copy itself; then nothing
    brings it changes, and it must read within the bound. So must a follower that is in
    use: what its upstream stated of itself was true when it answered, and the next
    answer may be late.

    >>> reads = OwnReads(Random(1), apply_s=2.0)
    >>> reads.is_due(Collection.CONFIG, 1.7, is_relay=False)
    False
    >>> reads.is_due(Collection.CONFIG, 1.7, is_relay=False, is_in_use=True)
    True
    >>> reads.on_follow_failed()
    >>> reads.is_due(Collection.CONFIG, 1.7, is_relay=False)
    True
    """

    def __init__(self, rng: Random, *, apply_s: float = DEFAULT_APPLY_S):
        self._rng = rng
        self._apply_s = apply_s
        self.upstream_answers = True
        self._upstream_age = 0.0
        self._substituted: set[Collection] = set()

    def is_due(
        self,
        collection: Collection,
        age_s: float,
        *,
        is_relay: bool,
        is_in_use: bool = False,
    ) -> bool:
        """Return whether a copy of ``age_s`` is too old to wait for the upstream.

        ``is_in_use`` states that this VM decides for callers or for other VMs.
        """
        age = age_s / self._apply_s
        if not is_relay:
            is_orphan = self._upstream_age > CURRENT_UPSTREAM_AGE
            must_read = is_orphan or is_in_use
            max_age = ORPHAN_MAX_AGE if must_read else FOLLOWER_MAX_AGE
            return age > max_age + SPREAD * self._rng.random()
        is_reader_outdated = self._upstream_age > CURRENT_READER_AGE
        if age > RELAY_MAX_AGE or (is_reader_outdated and age > CURRENT_READER_AGE):
            self._substituted.add(collection)
        return collection in self._substituted and age > SUBSTITUTE_MAX_AGE

    def on_update(
        self, upstream_ages_s: tuple[float, ...], advanced: frozenset[Collection]
    ) -> None:
        """Record the ages of an upstream's copies, and which copies it advanced."""
        is_known = all(age_s >= 0.0 for age_s in upstream_ages_s)
        oldest_s = max(upstream_ages_s, default=0.0) if is_known else inf
        self._upstream_age = oldest_s / self._apply_s
        self.upstream_answers = True
        self._substituted -= advanced

    def on_follow_failed(self) -> None:
        """Record that an upstream did not answer."""
        self.upstream_answers = False
        self._upstream_age = inf
