"""Offset queries to other VMs, limited in rate."""

from collections.abc import Iterable

from wagtailpaddle_fleet.messages import Action, OffsetQuery, SendPeer
from wagtailpaddle_fleet.offset_answers import OffsetAnswers

OFFSET_QUERY_TIMEOUT_S = 1.0
MAX_QUERIES_PER_STEP = 256


class OffsetPoller:
    """Sends offset queries, with a minimum interval for each VM.

    A pending query blocks the next one to the same VM only until that one is
    due, since its answer may be lost.
    """

    def __init__(self, own_address: str, answers: OffsetAnswers):
        self._own_address = own_address
        self._answers = answers
        self._pending_until: dict[str, float] = {}
        self._polled_at: dict[str, float] = {}

    def poll(
        self, now: float, addresses: Iterable[str], *, interval_s: float
    ) -> tuple[Action, ...]:
        """Return queries to addresses not polled in the last ``interval_s``.

        Addresses with failed queries come last.
        """
        due = [
            address
            for address in set(addresses)
            if self._is_due(now, address, interval_s)
        ]
        failures = self._answers.n_failures
        due.sort(key=lambda address: (failures.get(address, 0), address))
        return tuple(
            self._query(now, address, interval_s)
            for address in due[:MAX_QUERIES_PER_STEP]
        )

    def on_completed(self, address: str) -> None:
        """Handle the end of a query to ``address``, by an answer or a failure."""
        self._pending_until.pop(address, None)

    def prune(self, now: float) -> None:
        """Remove the state of addresses that were not polled recently."""
        self._pending_until = {
            address: at for address, at in self._pending_until.items() if at > now
        }
        self._polled_at = {
            address: at
            for address, at in self._polled_at.items()
            if now - at < 60 * OFFSET_QUERY_TIMEOUT_S
        }

    def _is_due(self, now: float, address: str, interval_s: float) -> bool:
        if address == self._own_address:
            return False
        if now < self._pending_until.get(address, float("-inf")):
            return False
        return now - self._polled_at.get(address, float("-inf")) >= interval_s

    def _query(self, now: float, address: str, interval_s: float) -> SendPeer:
        self._pending_until[address] = now + min(interval_s, 2 * OFFSET_QUERY_TIMEOUT_S)
        self._polled_at[address] = now
        return SendPeer(address, OffsetQuery(), OFFSET_QUERY_TIMEOUT_S)
