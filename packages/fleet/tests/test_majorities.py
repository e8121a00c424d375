"""The freshness rule and the settlement of claims, under random orders of events.

Guards against majorities that miss an accepted change or a settled claim. Each
step advances the time by 1. A query is answered at once, and its answer is
delivered at any later step or never.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from wagtailpaddle_fleet import (
    Depart,
    FleetRecord,
    Freshness,
    HandOverSeats,
    Join,
    OffsetAnswer,
    Roster,
    Settle,
    TakeSeat,
    Vm,
)
from wagtailpaddle_fleet.acceptance import Acceptance
from wagtailpaddle_fleet.handover import HeldSeats
from wagtailpaddle_fleet.offset_answers import OffsetAnswers
from wagtailpaddle_fleet.shares_progress import SharesProgress

index = st.integers(0, 63)
masks = st.integers(0, 511)


class Member:
    def __init__(self, number):
        name = f"{number}/0"
        self.vm = Vm(name, "z", name, str(number), "0")
        self.roster = Roster()
        self.answers = OffsetAnswers()
        self.held = HeldSeats(self.vm)
        self.freshness = Freshness()
        self.acceptance = Acceptance(self.roster, self.confirmed_offset)
        self.n_shares = 0
        self.claims = {}
        self.shares_read_at = -1.0
        self.shares = SharesProgress(
            roster=self.roster,
            answers=self.answers,
            held_seats=lambda: self.held.seats,
            next_offset=lambda: self.n_shares,
        )

    def confirmed_offset(self, seat):
        known = self.answers.confirmed_offset(seat)
        if seat in self.held.seats:
            return max(known, self.roster.next_offset)
        return known

    def answer(self, now):
        seats = self.held.voting_seats()
        return OffsetAnswer(
            self.vm, self.roster.next_offset, seats, True, now, self.n_shares
        )

    def apply(self, now, offset, record):
        self.roster.apply(offset, record)
        if record is not None and isinstance(record.change, Settle):
            self.shares.on_seats_changed(now)


class Majorities(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = []
        self.members = []
        self.in_flight = []
        self.accepted = []
        self.shares_log = []
        self.settled = []
        self.reported = {}

    @initialize(n_members=st.integers(2, 4))
    def start(self, n_members):
        for _ in range(n_members):
            self.new_member()
        for member in self.members:
            self.append(member, Join(member.vm))
        first = self.members[0]
        self.fold_all(first)
        self.append(first, Settle(0))
        for member in self.members:
            self.fold_all(member)

    def new_member(self):
        self.members.append(Member(len(self.members)))

    def pick(self, number):
        return self.members[number % len(self.members)]

    def selected(self, mask):
        return [item for bit, item in enumerate(self.members) if mask & (1 << bit)]

    def append(self, member, change):
        record = None
        if change is not None:
            record = FleetRecord(str(len(self.log)), member.vm.id, self.now, change)
        self.log.append(record)

    def fold_all(self, member):
        for offset in range(member.roster.next_offset, len(self.log)):
            member.apply(self.now, offset, self.log[offset])

    @rule(number=index)
    def fold_some(self, number):
        member = self.pick(number)
        for _ in range(1 + number // 16):
            offset = member.roster.next_offset
            if offset < len(self.log):
                member.apply(self.now, offset, self.log[offset])

    @rule(mask=masks)
    def fold_several(self, mask):
        for member in self.selected(mask):
            self.fold_all(member)

    @rule(number=index, mask=masks)
    def receive_answers(self, number, mask):
        member = self.pick(number)
        for peer in self.selected(mask):
            if peer is not member:
                address = peer.vm.peer_address
                member.answers.add(self.now, self.now, address, peer.answer(self.now))

    @rule(n_members=st.integers(1, 3))
    def join_several(self, n_members):
        for _ in range(n_members):
            self.join()

    @rule(number=index)
    def change(self, number):
        self.append(self.pick(number), None)

    @rule()
    def join(self):
        if len(self.members) < 9:
            self.new_member()
            member = self.members[-1]
            self.append(member, Join(member.vm))

    @rule(number=index, other=index)
    def depart(self, number, other):
        member = self.pick(number)
        seats = sorted(member.roster.seats)
        if seats:
            seat = seats[other % len(seats)]
            self.append(member, Depart(seat, member.roster.seats[seat].vm.id))

    @rule(number=index)
    def poll_all(self, number):
        member = self.pick(number)
        for other in self.members:
            if other is not member:
                answer = other.answer(self.now)
                self.in_flight.append((member, self.now, other, answer))

    @rule(number=index, other=index)
    def poll(self, number, other):
        member, peer = self.pick(number), self.pick(other)
        if member is not peer:
            answer = peer.answer(self.now)
            self.in_flight.append((member, self.now, peer, answer))

    @rule(number=index, n_answers=st.integers(1, 8))
    def deliver(self, number, n_answers):
        for _ in range(min(n_answers, len(self.in_flight))):
            item = self.in_flight.pop(number % len(self.in_flight))
            member, sent_at, peer, answer = item
            member.answers.add(self.now, sent_at, peer.vm.peer_address, answer)

    @rule(number=index)
    def settle(self, number):
        member = self.pick(number)
        change = member.roster.unsettled_change
        if change is None or not member.roster.has_majority(
            lambda seat: member.confirmed_offset(seat) > change
        ):
            return
        for _ in range(2):
            if member.shares.has_majority_caught_up(
                self.now, change, lambda seat: False
            ):
                self.append(member, Settle(change))
                return
            member.shares.on_log_head(self.now, len(self.shares_log))

    @rule(number=index)
    def claim(self, number):
        self.shares_log.append(self.pick(number))

    @rule(mask=masks)
    def fold_shares(self, mask):
        for member in self.selected(mask):
            self.fold_shares_of(member)

    def fold_shares_of(self, member):
        for offset in range(member.n_shares, len(self.shares_log)):
            if self.shares_log[offset] is member:
                member.claims[offset] = self.now
        member.n_shares = len(self.shares_log)

    @rule(number=index)
    def read_logs(self, number):
        member = self.pick(number)
        self.fold_all(member)
        member.freshness.on_log_head(self.now, len(self.log), len(self.log))

    @rule(number=index)
    def read_shares(self, number):
        member = self.pick(number)
        self.fold_shares_of(member)
        member.shares_read_at = self.now

    @rule(number=index, folding=masks, receiving=masks)
    def claim_and_settle(self, number, folding, receiving):
        member = self.pick(number)
        self.claim(number)
        self.fold_shares_of(member)
        self.fold_shares(folding)
        self.receive_answers(number, receiving | folding)
        self.settle_claims(number)

    @rule(number=index)
    def settle_claims(self, number):
        member = self.pick(number)
        member.freshness.on_seat_reports(
            self.now, member.roster, member.held.seats, member.answers.by_seat
        )
        for offset, folded_at in member.claims.items():
            is_fresh = folded_at <= member.freshness.confirmed_at
            if is_fresh and member.shares.settled_upto() > offset:
                self.settled.append((self.now, offset))

    @rule(number=index)
    def accept(self, number):
        member = self.pick(number)
        for offset in range(member.roster.next_offset):
            if member.acceptance.state(offset).in_force:
                self.accepted.append((self.now, offset))

    @rule(number=index, other=index)
    def hand_over(self, number, other):
        sender, candidate = self.pick(number), self.pick(other)
        seats = sender.held.voting_seats()
        if sender is candidate or not seats or sender.held.leaving_since is not None:
            return
        sender.held.begin_leave(self.now)
        answer = candidate.answer(self.now)
        sender.answers.add(self.now, self.now, candidate.vm.peer_address, answer)
        (call,) = sender.held.step(
            self.now + 1,
            sender.roster.next_offset,
            sender.answers.by_address,
            shares_offset=sender.n_shares,
        ) or (None,)
        if call is not None and isinstance(call.body, HandOverSeats):
            receiver = self.members[int(call.address)]
            receiver.held.on_hand_over(
                self.now,
                receiver.roster.next_offset,
                call.body,
                shares_offset=receiver.n_shares,
            )

    @rule(number=index)
    def take_seats(self, number):
        member = self.pick(number)
        for seat in member.held.voting_seats():
            self.append(member, TakeSeat(seat, member.vm))

    @invariant()
    def one_holder_per_seat(self):
        held = [seat for member in self.members for seat in member.held.seats]
        assert len(held) == len(set(held))

    @invariant()
    def reported_offsets_never_decrease(self):
        for member in self.members:
            for seat in member.held.seats:
                reported = self.reported.get(seat, (0, 0))
                assert member.roster.next_offset >= reported[0]
                assert member.n_shares >= reported[1]
                self.reported[seat] = (member.roster.next_offset, member.n_shares)

    @invariant()
    def fresh_members_have_folded_accepted_changes(self):
        self.now += 1.0
        for member in self.members:
            member.freshness.on_seat_reports(
                self.now, member.roster, member.held.seats, member.answers.by_seat
            )
            since = member.freshness.confirmed_at
            for at, offset in self.accepted:
                if at < since:
                    assert member.roster.next_offset > offset

    @invariant()
    def members_that_may_spend_have_folded_settled_claims(self):
        for member in self.members:
            since = max(member.shares_read_at, member.shares.confirmed_at(self.now))
            for at, offset in self.settled:
                if at < since:
                    assert member.n_shares > offset


Majorities.TestCase.settings = settings(
    max_examples=70, stateful_step_count=70, derandomize=True, deadline=None
)
test_majorities = Majorities.TestCase
