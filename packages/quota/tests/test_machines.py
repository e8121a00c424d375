"""State machines over the fold of the log and over loans."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from wagtailpaddle_core import AccountId
from wagtailpaddle_quota import (
    ChangeShares,
    LoanAnswer,
    LoanRequest,
    ShareChange,
    ShareId,
)
from wagtailpaddle_quota.borrower import Borrower
from wagtailpaddle_quota.fold import ShareFold
from wagtailpaddle_quota.lending_bucket import LendingBucket
from wagtailpaddle_standins.fakes.audit import RateAudit

SETTINGS = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)
SHARES = [ShareId(0, 0), ShareId(0, 1), ShareId(7, 0)]


class FoldMachine(RuleBasedStateMachine):
    """Readers of any part of the stream agree on every share."""

    def __init__(self):
        super().__init__()
        self.log = []
        self.writer = ShareFold(n_groups=1, n_shares=2)
        self.readers = [ShareFold(n_groups=1, n_shares=2)]

    def append(self, record):
        before = dict(self.writer.entries)
        self.writer.apply(len(self.log), record)
        self.log.append(record)
        for share, entry in self.writer.entries.items():
            assert share not in before or entry.revision >= before[share].revision

    @rule(
        share=st.sampled_from(SHARES),
        expected=st.integers(-1, 40),
        holder=st.sampled_from(["", "a", "b"]),
        current=st.booleans(),
    )
    def change(self, share, expected, holder, current):
        if current:
            expected = self.writer.entry(share).revision
        change = ShareChange(share, expected, holder)
        self.append(ChangeShares(f"r{len(self.log)}", "a", (change, change)))

    @rule()
    def snapshot(self):
        for record in self.writer.snapshot("s"):
            self.append(record)

    @rule(start=st.integers(0, 40))
    def read_from(self, start):
        reader = ShareFold(n_groups=1, n_shares=2)
        for offset, record in list(enumerate(self.log))[start:]:
            reader.apply(offset, record)
            reader.apply(offset, record)
        if reader.complete and reader.next_offset == len(self.log):
            assert reader.entries == self.writer.entries

    @rule()
    def read_on(self):
        reader = self.readers[0]
        for offset, record in list(enumerate(self.log))[reader.next_offset :]:
            reader.apply(offset, record)
        assert reader.entries == self.writer.entries

    @rule()
    def load(self):
        reader = ShareFold(n_groups=1, n_shares=2)
        reader.load(self.writer.next_offset, self.writer.entries.values())
        assert reader.entries == self.writer.entries

    @invariant()
    def unknown_shares_are_ignored(self):
        assert ShareId(7, 0) not in self.writer.entries


class LoanMachine(RuleBasedStateMachine):
    """One lender and two borrowers whose messages come late, twice or never."""

    ACCOUNT = AccountId("kiosk")

    @initialize(rate=st.sampled_from([5.0, 50.0]), burst=st.sampled_from([1.0, 8.0]))
    def start(self, rate, burst):
        self.now = 0.0
        self.lender = LendingBucket(rate=rate, burst=burst, tokens=burst, now=0.0)
        self.borrowers = {vm: Borrower(self.ACCOUNT, 0.0) for vm in ("b", "c")}
        self.audit = RateAudit("kiosk", rate, burst, 2.0)
        self.requests = []
        self.replies = []
        self.sequence = 0

    @rule(seconds=st.sampled_from([0.01, 0.3, 0.4, 1.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(vm=st.sampled_from(["b", "c"]), n_waiting=st.integers(0, 4))
    def ask(self, vm, n_waiting):
        for _ in range(n_waiting):
            self.borrowers[vm].add_waiting(self.now + 0.3)
        sent = self.borrowers[vm].due_messages(self.now, 0.0, ["a"], self.sequence + 1)
        self.sequence += len(sent)
        self.requests += [(vm, action.message) for action in sent]

    @rule(vm=st.sampled_from(["b", "c"]))
    def borrow(self, vm):
        for _ in range(8):
            self.borrowers[vm].add_waiting(self.now + 0.3)
        sent = self.borrowers[vm].due_messages(self.now, 0.0, ["a"], self.sequence + 1)
        self.sequence += len(sent)
        for action in sent:
            reply = self.lend(vm, action.message)
            self.replies.append((vm, action.message, reply))
            self.borrowers[vm].on_reply(self.now, "a", reply)

    @rule(data=st.data(), again=st.booleans())
    def deliver_request(self, data, again):
        if not self.requests:
            return
        place = data.draw(st.integers(0, len(self.requests) - 1))
        vm, message = self.requests[place]
        if not again:
            del self.requests[place]
        self.replies.append((vm, message, self.lend(vm, message)))

    def lend(self, vm, message: LoanRequest):
        granted = self.lender.lend(
            self.now,
            vm,
            sequence=message.sequence,
            held=message.held,
            returned=message.returned,
            wanted=message.wanted,
        )
        known = granted is not None
        return LoanAnswer(self.ACCOUNT, message.sequence, granted or 0.0, known)

    @rule(data=st.data(), again=st.booleans())
    def deliver_reply(self, data, again):
        if not self.replies:
            return
        place = data.draw(st.integers(0, len(self.replies) - 1))
        vm, _, reply = self.replies[place]
        if not again:
            del self.replies[place]
        self.borrowers[vm].on_reply(self.now, "a", reply)

    @rule(data=st.data())
    def fail(self, data):
        if self.requests:
            vm, message = data.draw(st.sampled_from(self.requests))
            self.borrowers[vm].on_call_failed(self.now, "a", message.sequence)

    @rule(vms=st.sets(st.sampled_from(["a", "b", "c"]), min_size=1))
    def spend(self, vms):
        for vm in sorted(vms):
            holder = self.lender if vm == "a" else self.borrowers[vm]
            while holder.acquire(self.now):
                self.audit.admit(self.now)

    @rule(burst=st.sampled_from([1.0, 8.0, 20.0]), rate=st.sampled_from([5.0, 50.0]))
    def change_limit(self, rate, burst):
        self.audit.change(self.now, rate, burst)
        self.lender.set_limit(self.now, rate, burst, self.now)

    @invariant()
    def admitted_within_rate_and_burst(self):
        assert not getattr(self, "audit", None) or not self.audit.excess


@pytest.mark.parametrize("machine", [FoldMachine, LoanMachine])
def test_machine(machine):
    run_state_machine_as_test(machine, settings=SETTINGS)
