"""Which VMs to ask for their offsets, and how often."""

from collections.abc import Iterable

from wagtailpaddle_fleet.answers import Answers
from wagtailpaddle_fleet.messages import Action, OffsetQuery, SendPeer

OFFSET_TIMEOUT_S = 1.0
MAX_QUERIES_PER_STEP = 256


class Asker:
    """Sends offset queries to each VM, and not too often.

    An answer that may be lost is not waited for longer than until the next
    query is due.
    """

    def __init__(self, own_address: str, answers: Answers):
        self._own_address = own_address
        self._answers = answers
        self._open: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}

    def ask(
        self, now: float, addresses: Iterable[str], *, every_s: float
    ) -> tuple[Action, ...]:
        """Return queries to those that were not asked in the last ``every_s``.

        VMs that failed to answer go last.
        """
        due = [
            address for address in set(addresses) if self._is_due(now, address, every_s)
        ]
        failures = self._answers.n_failures
        due.sort(key=lambda address: (failures.get(address, 0), address))
        return tuple(
            self._query(now, address, every_s) for address in due[:MAX_QUERIES_PER_STEP]
        )

    def done(self, address: str) -> None:
        """The query to ``address`` was answered, or failed."""
        self._open.pop(address, None)

    def forget(self, now: float) -> None:
        """Forget VMs that were not asked for long."""
        self._open = {address: at for address, at in self._open.items() if at > now}
        self._asked_at = {
            address: at
            for address, at in self._asked_at.items()
            if now - at < 60 * OFFSET_TIMEOUT_S
        }

    def _is_due(self, now: float, address: str, every_s: float) -> bool:
        if address == self._own_address:
            return False
        if now < self._open.get(address, float("-inf")):
            return False
        return now - self._asked_at.get(address, float("-inf")) >= every_s

    def _query(self, now: float, address: str, every_s: float) -> SendPeer:
        self._open[address] = now + min(every_s, 2 * OFFSET_TIMEOUT_S)
        self._asked_at[address] = now
        return SendPeer(address, OffsetQuery(), OFFSET_TIMEOUT_S)
