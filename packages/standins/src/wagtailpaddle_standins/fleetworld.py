"""An in-memory fleet: the config and membership state of several VMs.

It drives only the objects of the config and fleet packages. It models neither
machines nor requests.
"""

from collections.abc import Callable
from random import Random
from typing import Any

from wagtailpaddle_config import (
    Append,
    AppendTracker,
    Change,
    ConfigFold,
    LogCursor,
    Record,
    SnapshotChunk,
    SnapshotItem,
    SnapshotProvider,
    SnapshotScheduler,
    split_snapshot,
)
from wagtailpaddle_core import Offset, VmId, ZoneId
from wagtailpaddle_fleet import (
    AppendRecord,
    FleetRecord,
    FoldRecords,
    ListedVm,
    Membership,
    RestoreSnapshot,
    SendPeer,
    SnapshotAnswer,
    Vm,
    new_incarnation,
    vm_id,
)
from wagtailpaddle_peer import RecordError, decode_log_record, encode_log_record

from wagtailpaddle_standins.fakes.world import Clock, FakeList, FakeLog, Network

TICK_INTERVAL_S = 0.1
LOG_POLL_INTERVAL_S = 0.5
LIST_POLL_INTERVAL_S = 2.0
LOG_TIMEOUT_S = 2.0
DRAIN_TIMEOUT_S = 20.0
READ_LIMIT = 500
LOG = "log"
ROSTER_SECTION = "roster"


class SimVm:
    """One VM: its fold and membership, connected to the fakes of its world."""

    def __init__(self, world: "World", address: str, zone: str):
        self.world = world
        self.address = address
        incarnation = new_incarnation(world.clock.now, world.rng)
        vm = Vm(
            vm_id(address, incarnation), ZoneId(zone), address, address, incarnation
        )
        self.id = vm.id
        self.fold = ConfigFold(site="namur")
        self.member = Membership(
            vm,
            seed=world.seed,
            snapshot_chunk=self._snapshot_answer,
            list_lag_s=world.list_lag_s,
        )
        self.tracker = AppendTracker()
        self.log_cursor = LogCursor()
        self.snapshot_scheduler = SnapshotScheduler(
            rng=world.rng, interval_records=world.snapshot_records
        )
        self.snapshot_provider = SnapshotProvider(self._state, writer=vm.id)
        self.is_alive = True
        self.paused_until = 0.0
        self.n_busy_polls = 0
        for period_s, run in (
            (TICK_INTERVAL_S, self._tick),
            (LOG_POLL_INTERVAL_S, self._poll),
            (LIST_POLL_INTERVAL_S, self._poll_list),
        ):
            self._repeat(period_s, run)

    @property
    def now(self) -> float:
        """The current time in seconds."""
        return self.world.clock.now

    def later(self, delay_s: float, run: Callable[[], None]) -> None:
        """Schedule a callback; a paused VM runs it at the end of the pause."""

        def wake() -> None:
            if not self.is_alive:
                return
            if self.now < self.paused_until:
                self.world.clock.at(self.paused_until, wake)
            else:
                run()

        self.world.clock.at(self.now + delay_s, wake)

    def submit(
        self, record_id: str, change: Change, *, expected: Offset | None = None
    ) -> None:
        """Submit a change through this VM as an operator would."""
        record = Record(record_id, "op", self.now, expected, change)
        self._append(self.tracker.submit(record, self.fold.next_offset))

    def leave(self) -> None:
        """Stop gracefully; the VM ends after its leave or ``DRAIN_TIMEOUT_S``."""
        self.act(self.member.leave(self.now))
        self.world.listing.put(
            ListedVm(self.address, self.member.vm.zone, leaving=True)
        )
        self.later(DRAIN_TIMEOUT_S, lambda: self.world.remove(self))

    def act(self, actions: tuple[Any, ...]) -> None:
        """Execute actions of the membership."""
        for action in actions:
            match action:
                case SendPeer():
                    self.world.call(self, action)
                case AppendRecord():
                    self.world.append(self, encode_log_record(action.record), None)
                case FoldRecords():
                    for raw in action.records:
                        self._fold(raw.offset, raw.data)
                case RestoreSnapshot():
                    self._restore_chunks(action)

    def _repeat(self, period_s: float, run: Callable[[], None]) -> None:
        def step() -> None:
            run()
            self.later(period_s, step)

        self.later(self.world.rng.uniform(0, period_s), step)

    def _tick(self) -> None:
        self.act(self.member.tick(self.now))
        if self.member.has_left:
            self.world.remove(self)

    def _poll(self) -> None:
        sent_at = self.now
        start = self.log_cursor.next_read(self.fold.next_offset).start

        def answered(first: Offset, head: Offset, records: Any) -> None:
            self._on_read(sent_at, start, first, head, records)

        self.world.read(self, start, answered)

    def _poll_list(self) -> None:
        entries = self.world.listing.entries()
        self.later(0.01, lambda: self.act(self.member.on_vm_list(self.now, entries)))

    def _on_read(
        self,
        sent_at: float,
        start: Offset,
        first: Offset,
        head: Offset,
        records: list[tuple[Offset, bytes]],
    ) -> None:
        next_offset = self.fold.next_offset
        if first > next_offset and not self.log_cursor.is_searching:
            self.log_cursor.on_trimmed(first, next_offset)
            return
        self.log_cursor.on_caught_up(next_offset, first)
        if self.log_cursor.is_searching:
            decoded = [(offset, decode_log_record(data)) for offset, data in records]
            found = self.log_cursor.on_search_records(decoded, first, head, next_offset)
            if found is not None:
                self._restore(found.upto, found.items)
            return
        for offset, data in records:
            self._fold(offset, data)
        self.act(self.member.on_log_head(self.now, sent_at, head))
        for retry in self.tracker.on_log_head(sent_at, head, self.fold):
            self._append(retry)
        self._maybe_snapshot(first, head)

    def _fold(self, offset: Offset, data: bytes) -> None:
        if offset != self.fold.next_offset:
            return
        record: Any = None
        try:
            record = decode_log_record(data)
        except RecordError:
            record = None
        if isinstance(record, Record):
            self.fold.apply(offset, record)
        else:
            self.fold.skip(offset)
        if isinstance(record, SnapshotChunk):
            self.snapshot_scheduler.on_chunk(record)
        fleet = record if isinstance(record, FleetRecord) else None
        self.act(self.member.on_folded(self.now, offset, data, fleet))
        if isinstance(record, Record) and self.tracker.outcome(record.id) is not None:
            self.act(self.member.track_acceptance(self.now, offset))

    def _append(self, action: Append) -> None:
        record_id = action.record.id

        def done(offset: Offset | None) -> None:
            if offset is None:
                self.tracker.on_append_failed(self.now, record_id)
            else:
                self.tracker.on_appended(record_id)

        self.world.append(self, encode_log_record(action.record), done)

    def _state(self) -> tuple[Offset, list[SnapshotItem]]:
        roster = [
            SnapshotItem(ROSTER_SECTION, name, table)
            for name, table in self.member.snapshot_items()
        ]
        return self.fold.next_offset, [*self.fold.snapshot_items(), *roster]

    def _maybe_snapshot(self, first: Offset, head: Offset) -> None:
        n_vms = len(self.member.roster.seats)
        if not self.snapshot_scheduler.should_write(self.now, first, head, n_vms=n_vms):
            return
        upto, items = self._state()
        for chunk in split_snapshot(upto, items, writer=self.id, at=self.now):
            self.world.append(self, encode_log_record(chunk), None)

    def _snapshot_answer(self, now: float, upto: Offset, index: int) -> SnapshotAnswer:
        chunk = self.snapshot_provider.chunk(now, upto, index)
        if chunk is None:
            return SnapshotAnswer(upto, index, 0, b"")
        data = encode_log_record(chunk)
        return SnapshotAnswer(chunk.upto, index, chunk.n_chunks, data)

    def _restore_chunks(self, action: RestoreSnapshot) -> None:
        items: list[SnapshotItem] = []
        for data in action.chunks:
            chunk = decode_log_record(data)
            if isinstance(chunk, SnapshotChunk):
                items.extend(chunk.items)
        self._restore(action.upto, tuple(items))

    def _restore(self, upto: Offset, items: tuple[SnapshotItem, ...]) -> None:
        if upto < self.fold.next_offset:
            return
        self.fold.restore(upto, items)
        roster = [(i.name, i.table) for i in items if i.section == ROSTER_SECTION]
        self.act(self.member.on_snapshot_restored(self.now, upto, roster))


class World:
    """The VMs of a fleet with their log, list and network."""

    def __init__(
        self,
        *,
        seed: int,
        list_lag_s: float = 10.0,
        snapshot_records: int = 5_000,
    ):
        self.seed = seed
        self.rng = Random(seed)
        self.clock = Clock()
        self.log = FakeLog()
        self.list_lag_s = list_lag_s
        self.snapshot_records = snapshot_records
        self.listing = FakeList(self.clock, lag_s=list_lag_s / 2)
        self.net = Network(self.rng)
        self.vms: dict[str, SimVm] = {}

    def start(self, address: str, zone: str = "a") -> SimVm:
        """Start a VM, or a new incarnation of a VM that ended."""
        vm = SimVm(self, address, zone)
        self.vms[address] = vm
        self.listing.put(ListedVm(address, ZoneId(zone)))
        return vm

    def start_fleet(self, n_vms: int, n_zones: int = 3) -> None:
        """Start VMs at addresses ``v0``, ``v1`` and so on."""
        for index in range(n_vms):
            self.start(f"v{index}", f"z{index % n_zones}")

    def kill(self, address: str, *, delist: bool = True) -> None:
        """Kill a VM without a graceful stop."""
        self.vms.pop(address).is_alive = False
        if delist:
            self.listing.remove(address)

    def remove(self, vm: SimVm) -> None:
        """Remove a VM that has left."""
        if self.vms.get(vm.address) is vm:
            self.kill(vm.address)

    def run(self, seconds: float) -> None:
        """Run the simulation for ``seconds``."""
        self.clock.run_until(self.clock.now + seconds)

    def read(self, vm: SimVm, start: Offset, done: Callable[..., None]) -> None:
        """Read the log; ``done`` is not called if there is no answer."""

        def serve() -> None:
            if not self.log.is_up:
                return
            first, head = self.log.first, self.log.head
            records = self.log.read(start, READ_LIMIT) if start >= first else []
            if self.net.delivers(LOG, vm.address, [data for _, data in records]):
                vm.later(self.net.delay(), lambda: done(first, head, records))

        if self.net.delivers(vm.address, LOG, start):
            self.clock.at(self.clock.now + self.net.delay(), serve)

    def append(
        self, vm: SimVm, data: bytes, done: Callable[[Offset | None], None] | None
    ) -> None:
        """Append to the log; ``done`` receives None on a time-out."""
        answered: list[Offset | None] = []

        def finish(offset: Offset | None) -> None:
            if not answered:
                answered.append(offset)
                if done is not None:
                    done(offset)

        def serve() -> None:
            if not self.log.is_up:
                return
            offset = self.log.append(data)
            is_lost = self.rng.random() < self.log.loss
            if not is_lost and self.net.delivers(LOG, vm.address, offset):
                vm.later(self.net.delay(), lambda: finish(offset))

        vm.later(LOG_TIMEOUT_S, lambda: finish(None))
        if self.net.delivers(vm.address, LOG, data):
            self.clock.at(self.clock.now + self.net.delay(), serve)

    def call(self, vm: SimVm, action: SendPeer) -> None:
        """Deliver a call to another VM and its reply to ``vm``."""
        sent_at = self.clock.now
        ended: list[bool] = []

        def finish(reply: Any) -> None:
            if ended:
                return
            ended.append(True)
            now = self.clock.now
            if reply is None:
                actions = vm.member.on_call_failed(now, action.address, action.body)
            else:
                actions = vm.member.on_reply(
                    now, sent_at, action.address, action.body, reply
                )
            vm.act(actions)

        def arrive() -> None:
            peer = self.vms.get(action.address)
            if peer is not None:
                peer.later(0.0, lambda: answer(peer))

        def answer(peer: SimVm) -> None:
            reply = peer.member.on_message(self.clock.now, vm.id, action.body)
            if self.net.delivers(peer.address, vm.address, reply):
                vm.later(self.net.delay(), lambda: finish(reply))

        vm.later(action.timeout_s, lambda: finish(None))
        if self.net.delivers(vm.address, action.address, action.body):
            self.clock.at(sent_at + self.net.delay(), arrive)


__all__ = ["SimVm", "VmId", "World"]
