"""In-memory store of the claims of one VM, limited in bytes."""

from collections.abc import Iterator

from wagtailpaddle_core import VmId, ensure

from wagtailpaddle_once.messages import (
    AttemptId,
    Claim,
    ClaimKey,
    ClaimState,
    Store,
    StoredAnswer,
)

ENTRY_BYTES = 400
"""Memory counted for a claim, to which its answer is added."""

_PRECEDENCE = {ClaimState.PLACED: 0, ClaimState.UNKNOWN: 1, ClaimState.DONE: 2}


def answer_bytes(answer: StoredAnswer | None) -> int:
    """Return the memory that an answer takes up."""
    if answer is None:
        return 0
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers


class ClaimEntry:
    """A stored claim, with several ``attempts`` if copies from replicas differ.

    An outcome is retained for the store's TTL from ``finished_at``.
    ``queried_at`` is the time of the last query to the coordinators.
    """

    __slots__ = (
        "answer",
        "attempts",
        "fingerprint",
        "finished_at",
        "key",
        "partition",
        "queried_at",
        "state",
    )

    def __init__(
        self,
        key: ClaimKey,
        partition: int,
        fingerprint: str,
        attempts: tuple[AttemptId, ...],
        state: ClaimState,
        finished_at: float,
        queried_at: float,
    ) -> None:
        self.key = key
        self.partition = partition
        self.fingerprint = fingerprint
        self.attempts = attempts
        self.state = state
        self.finished_at = finished_at
        self.queried_at = queried_at
        self.answer: StoredAnswer | None = None


class ClaimStore:
    """Claims by partition. A full store refuses new claims and evicts none.

    A placed claim is retained until its attempt is settled, and the outcome for
    ``ttl_s`` after that.
    """

    def __init__(self, *, ttl_s: float, max_bytes: int):
        self.n_bytes = 0
        self._ttl_s = ttl_s
        self._max_bytes = max_bytes
        self._entries: dict[ClaimKey, ClaimEntry] = {}
        self._keys_by_partition: dict[int, set[ClaimKey]] = {}
        self._unsettled: dict[ClaimKey, None] = {}
        self._finished: dict[ClaimKey, None] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: ClaimKey) -> ClaimEntry | None:
        """Return the claim on ``key``, if any."""
        return self._entries.get(key)

    def unsettled(self) -> Iterator[ClaimEntry]:
        """Iterate over the claims whose attempts are not settled."""
        for key in list(self._unsettled):
            yield self._entries[key]

    def place(self, now: float, partition: int, claim: Claim) -> bool:
        """Store a new claim; return False if memory is full."""
        if self.n_bytes + ENTRY_BYTES > self._max_bytes:
            return False
        self._insert(now, partition, claim)
        return True

    def remove_attempt(self, key: ClaimKey, attempt: AttemptId) -> None:
        """Remove an attempt that has not run, and the claim with its last one."""
        entry = self._entries.get(key)
        if entry is None or entry.state is not ClaimState.PLACED:
            return
        entry.attempts = tuple(other for other in entry.attempts if other != attempt)
        if not entry.attempts:
            self._delete(entry)

    def finish(self, now: float, partition: int, store: Store) -> bool:
        """Store an outcome; return False if memory is full."""
        claim = Claim(
            key=store.key,
            fingerprint=store.fingerprint,
            attempt=store.attempt,
            state=store.state,
            age_s=0.0,
            answer=store.answer,
        )
        return self.merge(now, partition, claim)

    def merge(self, now: float, partition: int, claim: Claim) -> bool:
        """Merge a copy of a claim; return False if memory is full.

        An outcome replaces a placed claim, and a known outcome an unknown one. If
        copies were placed by different attempts, both attempts are retained, and
        neither is accepted while both remain.
        """
        entry = self._entries.get(claim.key)
        if entry is None:
            if claim.age_s >= self._ttl_s and claim.state is not ClaimState.PLACED:
                return True
            return self.place(now, partition, claim)
        if _PRECEDENCE[claim.state] > _PRECEDENCE[entry.state]:
            self._replace(now, entry, claim)
        elif claim.state is entry.state is ClaimState.PLACED:
            entry.attempts = tuple(sorted({*entry.attempts, claim.attempt}))
        return True

    def mark_unknown(self, now: float, entry: ClaimEntry) -> None:
        """Record that it can no longer be known whether a placed claim ran."""
        if entry.state is ClaimState.PLACED:
            self._finish(now, entry, ClaimState.UNKNOWN, None)

    def claims(
        self, now: float, partition: int, after: ClaimKey | None, max_bytes: int
    ) -> tuple[tuple[Claim, ...], bool]:
        """Return claims with keys above ``after``, and whether more follow."""
        keys = sorted(
            key
            for key in self._keys_by_partition.get(partition, ())
            if after is None or key > after
        )
        claims: list[Claim] = []
        n_bytes = 0
        for index, key in enumerate(keys):
            entry = self._entries[key]
            claims += self.to_claims(now, entry)
            n_bytes += ENTRY_BYTES + answer_bytes(entry.answer)
            if n_bytes >= max_bytes:
                return tuple(claims), index + 1 < len(keys)
        return tuple(claims), False

    def to_claims(self, now: float, entry: ClaimEntry) -> tuple[Claim, ...]:
        """Return ``entry`` as claims, one for each attempt."""
        unsettled = entry.state is ClaimState.PLACED
        return tuple(
            Claim(
                key=entry.key,
                fingerprint=entry.fingerprint,
                attempt=attempt,
                state=entry.state,
                age_s=0.0 if unsettled else max(0.0, now - entry.finished_at),
                answer=entry.answer,
            )
            for attempt in entry.attempts
        )

    def expire(self, now: float) -> None:
        """Remove outcomes older than the TTL, oldest first."""
        while self._finished:
            key = next(iter(self._finished))
            entry = self._entries[key]
            if now - entry.finished_at < self._ttl_s:
                return
            self._delete(entry)

    def on_coordinator_gone(self, vm: VmId, now: float) -> None:
        """Mark the placed claims of ``vm``, which can settle no more, as unknown."""
        for entry in self.unsettled():
            if any(attempt.coordinator == vm for attempt in entry.attempts):
                self.mark_unknown(now, entry)

    def _insert(self, now: float, partition: int, claim: Claim) -> None:
        entry = ClaimEntry(
            key=claim.key,
            partition=partition,
            fingerprint=claim.fingerprint,
            attempts=(claim.attempt,),
            state=ClaimState.PLACED,
            finished_at=now,
            queried_at=now,
        )
        self._entries[entry.key] = entry
        self._keys_by_partition.setdefault(partition, set()).add(entry.key)
        self._unsettled[entry.key] = None
        self.n_bytes += ENTRY_BYTES
        if claim.state is not ClaimState.PLACED:
            self._replace(now, entry, claim)

    def _replace(self, now: float, entry: ClaimEntry, claim: Claim) -> None:
        entry.fingerprint = claim.fingerprint
        entry.attempts = (claim.attempt,)
        self._finish(now - claim.age_s, entry, claim.state, claim.answer)

    def _finish(
        self,
        finished_at: float,
        entry: ClaimEntry,
        state: ClaimState,
        answer: StoredAnswer | None,
    ) -> None:
        """Record an outcome; it is unknown if there is no memory for the answer."""
        if self.n_bytes + answer_bytes(answer) > self._max_bytes:
            state, answer = ClaimState.UNKNOWN, None
        self._unsettled.pop(entry.key, None)
        self._finished.pop(entry.key, None)
        self._finished[entry.key] = None
        self.n_bytes += answer_bytes(answer) - answer_bytes(entry.answer)
        entry.state = state
        entry.answer = answer
        entry.finished_at = finished_at

    def _delete(self, entry: ClaimEntry) -> None:
        del self._entries[entry.key]
        self._keys_by_partition[entry.partition].discard(entry.key)
        if not self._keys_by_partition[entry.partition]:
            del self._keys_by_partition[entry.partition]
        self._unsettled.pop(entry.key, None)
        self._finished.pop(entry.key, None)
        self.n_bytes -= ENTRY_BYTES + answer_bytes(entry.answer)
        ensure(self.n_bytes >= 0, "claim-bytes-not-negative", n_bytes=self.n_bytes)
