"""Answers of other VMs about their offsets and seats."""

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailpaddle_core import Offset

from wagtailpaddle_fleet.messages import OffsetAnswer, SeatId

ANSWER_RETENTION_S = 600.0


@dataclass(frozen=True, slots=True)
class ReceivedAnswer:
    """An answer with the times of its query and of its receipt, in seconds."""

    answer: OffsetAnswer
    sent_at: float
    received_at: float


@dataclass(frozen=True, slots=True)
class SeatReport:
    """The latest report for a seat, sent by the VM at ``address``."""

    address: str
    sent_at: float
    next_offset: Offset
    shares_offset: Offset = 0


class OffsetAnswers:
    """The latest answer of each VM and for each seat."""

    def __init__(self) -> None:
        self.by_address: dict[str, ReceivedAnswer] = {}
        self.by_seat: dict[SeatId, SeatReport] = {}
        self.n_failures: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self._confirmed_offsets: dict[SeatId, Offset] = {}
        self._shares_offsets: dict[SeatId, Offset] = {}

    def add(
        self, now: float, sent_at: float, address: str, answer: OffsetAnswer
    ) -> None:
        """Record an answer to a query sent at ``sent_at``."""
        self.n_failures.pop(address, None)
        self._failed_at.pop(address, None)
        latest = self.by_address.get(address)
        if latest is None or latest.sent_at <= sent_at:
            self.by_address[address] = ReceivedAnswer(answer, sent_at, now)
        for seat in answer.seats:
            report = self.by_seat.get(seat)
            if report is None or report.sent_at <= sent_at:
                self.by_seat[seat] = SeatReport(
                    address, sent_at, answer.next_offset, answer.shares_offset
                )
            confirmed = max(self._confirmed_offsets.get(seat, 0), answer.next_offset)
            self._confirmed_offsets[seat] = confirmed
            shares = max(self._shares_offsets.get(seat, 0), answer.shares_offset)
            self._shares_offsets[seat] = shares

    def on_failed(self, now: float, address: str) -> None:
        """Record that a query to ``address`` failed."""
        self.n_failures[address] = self.n_failures.get(address, 0) + 1
        self._failed_at[address] = now

    def confirmed_offset(self, seat: SeatId) -> Offset:
        """Return the highest next offset that was ever reported for a seat."""
        return self._confirmed_offsets.get(seat, 0)

    def shares_offset(self, seat: SeatId) -> Offset:
        """Return the highest offset of ``shares`` ever reported for a seat."""
        return self._shares_offsets.get(seat, 0)

    def prune(self, now: float, seats: Iterable[SeatId]) -> None:
        """Remove seats that are not in ``seats``, and expired answers."""
        registered = set(seats)
        self.by_seat = {
            s: report for s, report in self.by_seat.items() if s in registered
        }
        self._confirmed_offsets = {
            s: offset
            for s, offset in self._confirmed_offsets.items()
            if s in registered
        }
        self._shares_offsets = {
            s: offset for s, offset in self._shares_offsets.items() if s in registered
        }
        self.by_address = {
            address: received
            for address, received in self.by_address.items()
            if now - received.received_at <= ANSWER_RETENTION_S
        }
        self._failed_at = {
            address: at
            for address, at in self._failed_at.items()
            if now - at <= ANSWER_RETENTION_S
        }
        self.n_failures = {
            address: n
            for address, n in self.n_failures.items()
            if address in self._failed_at
        }
