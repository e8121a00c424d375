"""What other VMs answered about their offsets and seats."""

from collections.abc import Iterable
from dataclasses import dataclass

from wagtailpaddle_core import Offset

from wagtailpaddle_fleet.messages import OffsetAnswer, SeatId

FORGET_ANSWER_S = 600.0


@dataclass(frozen=True, slots=True)
class Heard:
    """An answer, when its question was sent and when it came, in seconds."""

    answer: OffsetAnswer
    sent_at: float
    at: float


@dataclass(frozen=True, slots=True)
class SeatVoice:
    """The latest that was said for a seat, and by the VM at which address."""

    address: str
    sent_at: float
    next_offset: Offset
    shares_offset: Offset = 0


class Answers:
    """The latest answer of each VM and for each seat."""

    def __init__(self) -> None:
        self.by_address: dict[str, Heard] = {}
        self.by_seat: dict[SeatId, SeatVoice] = {}
        self.n_failures: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self._confirmed: dict[SeatId, Offset] = {}
        self._shares: dict[SeatId, Offset] = {}

    def note(
        self, now: float, sent_at: float, address: str, answer: OffsetAnswer
    ) -> None:
        """Take in an answer to a question sent at ``sent_at``."""
        self.n_failures.pop(address, None)
        self._failed_at.pop(address, None)
        known = self.by_address.get(address)
        if known is None or known.sent_at <= sent_at:
            self.by_address[address] = Heard(answer, sent_at, now)
        for seat in answer.seats:
            voice = self.by_seat.get(seat)
            if voice is None or voice.sent_at <= sent_at:
                self.by_seat[seat] = SeatVoice(
                    address, sent_at, answer.next_offset, answer.shares_offset
                )
            confirmed = max(self._confirmed.get(seat, 0), answer.next_offset)
            self._confirmed[seat] = confirmed
            shares = max(self._shares.get(seat, 0), answer.shares_offset)
            self._shares[seat] = shares

    def failed(self, now: float, address: str) -> None:
        """A question to ``address`` brought no answer."""
        self.n_failures[address] = self.n_failures.get(address, 0) + 1
        self._failed_at[address] = now

    def confirmed(self, seat: SeatId) -> Offset:
        """Return the highest next offset that was ever named for a seat."""
        return self._confirmed.get(seat, 0)

    def shares_offset(self, seat: SeatId) -> Offset:
        """Return the highest offset of ``shares`` ever named for a seat."""
        return self._shares.get(seat, 0)

    def keep_only(self, now: float, seats: Iterable[SeatId]) -> None:
        """Forget seats that are not registered, and answers from long ago."""
        kept = set(seats)
        self.by_seat = {s: voice for s, voice in self.by_seat.items() if s in kept}
        self._confirmed = {s: at for s, at in self._confirmed.items() if s in kept}
        self._shares = {s: at for s, at in self._shares.items() if s in kept}
        self.by_address = {
            address: heard
            for address, heard in self.by_address.items()
            if now - heard.at <= FORGET_ANSWER_S
        }
        self._failed_at = {
            address: at
            for address, at in self._failed_at.items()
            if now - at <= FORGET_ANSWER_S
        }
        self.n_failures = {
            address: n
            for address, n in self.n_failures.items()
            if address in self._failed_at
        }
