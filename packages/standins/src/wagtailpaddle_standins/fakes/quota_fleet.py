"""Several share rate limiters with a simulated log, roster and network."""

from wagtailpaddle_core import AccountId, VmId
from wagtailpaddle_quota import (
    AppendRecord,
    Granted,
    Limit,
    QuotaAction,
    Refused,
    SendPeer,
    ShareRateLimiter,
    ShareRecord,
)

from wagtailpaddle_standins.fakes.audit import RateAudit
from wagtailpaddle_standins.fakes.fabric import Fabric, NetworkFaults, Process

TICK_S = 0.05
CONFIRM_INTERVAL_S = 0.4
GONE_LAG_S = 4.0
LOG = "log"
AUDIT_OVERLAP_S = 1.2


class Instance:
    """One incarnation of a daemon, reduced to its rate limiter."""

    __slots__ = ("gone", "limiter", "limits", "polls", "process")

    def __init__(
        self,
        process: Process,
        limiter: ShareRateLimiter,
        limits: dict[AccountId, Limit],
        gone: set[VmId] | None = None,
    ) -> None:
        self.process = process
        self.limiter = limiter
        self.limits = limits
        self.gone: set[VmId] = set() if gone is None else gone
        self.polls: dict[float, dict[str, int]] = {}


class Tally:
    """Counts the outcomes of the requests of a client account."""

    __slots__ = ("n_granted", "n_refused", "n_sent", "waits_s")

    def __init__(self) -> None:
        self.n_sent: int = 0
        self.n_granted: int = 0
        self.n_refused: int = 0
        self.waits_s: list[float] = []


class QuotaFleet:
    """A fleet of ``n_vms`` places, each with at most one live incarnation."""

    def __init__(
        self,
        seed: int,
        limits: dict[AccountId, tuple[float, float]],
        *,
        n_vms: int = 6,
        n_groups: int = 4,
        n_shares: int = 3,
        network_faults: NetworkFaults | None = None,
        always_poll: bool = True,
    ):
        self.fabric = Fabric(seed, network_faults)
        self.rng = self.fabric.rng
        self.log: list[ShareRecord] = []
        self.log_up = True
        self.places = [f"p{number}" for number in range(n_vms)]
        self.instances: dict[str, Instance] = {}
        self.by_vm: dict[VmId, Instance] = {}
        self.registered: dict[str, VmId] = {}
        self.listed: set[VmId] = set()
        self.limits = dict(limits)
        self.audits = {
            account: RateAudit(account, rate, burst, AUDIT_OVERLAP_S)
            for account, (rate, burst) in limits.items()
        }
        self.tallies = {account: Tally() for account in limits}
        self.n_appends = 0
        self.n_quota_messages = 0
        self._always_poll = always_poll
        self._changing = False
        self._unsettled: dict[AccountId, tuple[float, ...]] = {}
        self._shape = (n_groups, n_shares)
        self._n_started = 0
        for place in self.places:
            self.start(place)

    def start(self, place: str, predecessor: Instance | None = None) -> Instance:
        """Start a new incarnation.

        It acquires the seat of its place at once with ``predecessor`` or if the seat
        is vacant, otherwise after its first log read.
        """
        self._n_started += 1
        vm = VmId(f"{place}.{self._n_started}")
        process = Process(vm, place, self.rng.uniform(0.0, 1000.0))
        local = self.fabric.now + process.clock_offset_s
        limits = {
            account: Limit(rate, burst, local, self._unsettled.get(account, ()))
            for account, (rate, burst) in self.limits.items()
        }
        groups, shares = self._shape
        limiter = ShareRateLimiter(
            vm, limits=limits.get, n_groups=groups, n_shares=shares
        )
        instance = Instance(process, limiter, limits)
        self.instances[place] = instance
        self.by_vm[vm] = instance
        self.listed.add(vm)
        if predecessor is not None:
            old = predecessor.limiter
            limiter.load(local, old.next_offset, old.state())
            self.registered[place] = vm
        elif place not in self.registered:
            self.registered[place] = vm
        self._later(instance, self.rng.uniform(0, TICK_S), self._tick)
        self._later(instance, self.rng.uniform(0, CONFIRM_INTERVAL_S), self._confirm)
        return instance

    def crash(self, place: str) -> None:
        """Kill a process without a graceful stop."""
        instance = self.instances.pop(place, None)
        if instance is not None:
            instance.process.alive = False
            self._declare_gone(instance.limiter.vm, GONE_LAG_S)

    def declare_gone(self, place: str) -> None:
        """Make the other processes treat a live process as permanently gone."""
        instance = self.instances.get(place)
        if instance is not None:
            self._declare_gone(instance.limiter.vm, 0.0)

    def replace(self, place: str, hand_over_s: float = 1.5) -> None:
        """Stop a process gracefully and start its successor."""
        instance = self.instances.get(place)
        if instance is None or instance.limiter.draining:
            return

        def stop() -> None:
            limiter = instance.limiter
            self._act(instance, limiter.release(self._clock(instance)))
            self._later(instance, hand_over_s, finish)

        def finish(_: Instance) -> None:
            if self.instances.get(place) is not instance:
                return
            self.crash(place)
            seated = self.registered.get(place) == instance.limiter.vm
            self.start(place, instance if seated else None)

        self.fabric.on(instance.process, self.fabric.now, stop)

    def pause(self, place: str, seconds: float) -> None:
        """Suspend a process for ``seconds``."""
        instance = self.instances.get(place)
        if instance is not None:
            instance.process.pause_until(self.fabric.now + seconds)

    def change_limit(self, account: AccountId, rate: float, burst: float) -> bool:
        """Propagate a new limit with random lags.

        Returns False if another change is still propagating.
        """
        if self._changing:
            return False
        self._changing = True
        old = self.limits[account]
        audit = self.audits[account]
        audit.change(self.fabric.now, max(rate, old[0]), max(burst, old[1]))
        self.limits[account] = (rate, burst)
        self._unsettled[account] = (old[1],)
        not_updated = set(self.by_vm)

        def set_limit(instance: Instance, unsettled: tuple[float, ...]) -> None:
            instance.limits[account] = Limit(
                rate, burst, self._clock(instance), unsettled
            )

        def check() -> None:
            alive = [item for item in self.instances.values() if item.process.alive]
            if any(item.limiter.vm in not_updated for item in alive):
                self.fabric.at(self.fabric.now + 0.2, check)
                return
            audit.change(self.fabric.now, rate, burst)
            del self._unsettled[account]
            for item in alive:
                self._later(item, self.rng.uniform(0, 2), lambda i: set_limit(i, ()))
            self._changing = False

        def on_new_limit(instance: Instance) -> None:
            set_limit(instance, (old[1],))
            not_updated.discard(instance.limiter.vm)

        for instance in self.instances.values():
            self._later(instance, self.rng.uniform(0, 2), on_new_limit)
        self.fabric.at(self.fabric.now + 0.2, check)
        return True

    def request(self, place: str, account: AccountId, max_wait_s: float = 0.5) -> None:
        """Send one request of ``account`` to ``place``."""
        instance = self.instances.get(place)
        if instance is None or self.fabric.now < instance.process.paused_until:
            return
        arrived = self.fabric.now
        tally = self.tallies[account]
        tally.n_sent += 1
        deadline = self._clock(instance) + max_wait_s

        def try_acquire(instance: Instance) -> None:
            now = self._clock(instance)
            decision = instance.limiter.acquire(now, account, deadline)
            if isinstance(decision, Granted):
                self.audits[account].admit(self.fabric.now)
                tally.n_granted += 1
                tally.waits_s.append(self.fabric.now - arrived)
            elif isinstance(decision, Refused):
                tally.n_refused += 1
            else:
                self._act(instance, instance.limiter.borrow(now, account))
                self._later(instance, decision.at - now, try_acquire)

        try_acquire(instance)

    # Daemon loop

    def _tick(self, instance: Instance) -> None:
        now = self._clock(instance)
        self._act(instance, instance.limiter.tick(now))
        self._later(instance, TICK_S, self._tick)

    def _act(self, instance: Instance, actions: tuple[QuotaAction, ...]) -> None:
        for action in actions:
            if isinstance(action, AppendRecord):
                self._append(instance, action.record)
            else:
                self._call(instance, action)

    def _call(self, instance: Instance, action: SendPeer) -> None:
        self.n_quota_messages += 1
        target = self.by_vm.get(action.vm)
        message = action.message

        def handle() -> object:
            assert target is not None
            now = self._clock(target)
            return target.limiter.on_message(now, instance.limiter.vm, message)

        def on_reply(reply: object) -> None:
            now = self._clock(instance)
            limiter = instance.limiter
            replied = limiter.on_reply(now, action.vm, message, reply)  # type: ignore[arg-type]
            self._act(instance, replied)

        def on_failed() -> None:
            now = self._clock(instance)
            instance.limiter.on_call_failed(now, action.vm, message)

        self.fabric.call(
            instance.process,
            target.process if target else None,
            handle,
            on_reply,
            on_failed,
        )

    def _append(self, instance: Instance, record: ShareRecord) -> None:
        place = instance.process.place

        def arrive() -> None:
            if self.log_up and (place, LOG) not in self.fabric.cuts:
                self.n_appends += 1
                self.log.append(record)
            if self.rng.random() < 0.3:
                self._later(instance, 0.0, failed)

        def failed(instance: Instance) -> None:
            now = self._clock(instance)
            instance.limiter.on_append_failed(now, record.id)

        delay = self.rng.uniform(0.002, 0.01)
        if self.rng.random() < 0.1:
            delay = self.rng.uniform(0.0, 6.0)
        self.fabric.at(self.fabric.now + delay, arrive)

    def _confirm(self, instance: Instance) -> None:
        """Read the log and poll all peers, as the freshness rule requires."""
        self._read_log(instance)
        sent_at = self._clock(instance)
        vm = instance.limiter.vm
        instance.polls = {
            at: replies for at, replies in instance.polls.items() if at > sent_at - 5
        }
        instance.polls[sent_at] = {vm: instance.limiter.next_offset}
        if self._always_poll or not self.log_up:
            for peer in self.instances.values():
                if peer is not instance:
                    self._poll(instance, peer, sent_at)
        self._check_poll(instance, sent_at)
        instance.limiter.on_roster(
            sent_at,
            self.listed - instance.gone,
            instance.gone,
        )
        self._later(instance, CONFIRM_INTERVAL_S, self._confirm)

    def _poll(self, instance: Instance, peer: Instance, sent_at: float) -> None:
        start = instance.limiter.next_offset

        def handle() -> object:
            return peer.limiter.next_offset

        def on_reply(reply: object) -> None:
            folded = int(str(reply))
            for offset in range(start, folded):
                now = self._clock(instance)
                instance.limiter.on_record(now, offset, self.log[offset])
            if sent_at in instance.polls:
                instance.polls[sent_at][peer.limiter.vm] = folded
            self._check_poll(instance, sent_at)

        self.fabric.call(instance.process, peer.process, handle, on_reply, lambda: None)

    def _check_poll(self, instance: Instance, sent_at: float) -> None:
        replies = instance.polls.get(sent_at, {})
        seats = set(self.registered.values())
        counted = sorted(
            (at for vm, at in replies.items() if vm in seats), reverse=True
        )
        n_needed = len(seats) // 2 + 1
        if len(counted) >= n_needed:
            now = self._clock(instance)
            instance.limiter.on_confirmed(now, sent_at, max(replies.values()))
            instance.limiter.on_settled(now, sent_at, counted[n_needed - 1])

    def _read_log(self, instance: Instance) -> None:
        place = instance.process.place
        if not self.log_up or (place, LOG) in self.fabric.cuts:
            return
        sent_at = self._clock(instance)

        def arrive() -> None:
            records = list(enumerate(self.log))
            if (LOG, place) not in self.fabric.cuts:
                self._later(
                    instance, 0.002, lambda i: self._on_log_read(i, records, sent_at)
                )

        self.fabric.at(self.fabric.now + 0.002, arrive)

    def _on_log_read(
        self,
        instance: Instance,
        records: list[tuple[int, ShareRecord]],
        sent_at: float,
    ) -> None:
        now = self._clock(instance)
        limiter = instance.limiter
        for offset, record in records[limiter.next_offset :]:
            limiter.on_record(now, offset, record)
        limiter.on_confirmed(now, sent_at, len(records))
        place = instance.process.place
        seat = self.registered.get(place)
        if self.instances.get(place) is instance and seat != limiter.vm:
            self.registered[place] = limiter.vm

    def _declare_gone(self, vm: VmId, lag_s: float) -> None:
        def declare() -> None:
            self.listed.discard(vm)
            for instance in self.by_vm.values():
                if instance.limiter.vm != vm:
                    lag = self.rng.uniform(0, 1)
                    self._later(instance, lag, lambda i: i.gone.add(vm))

        self.fabric.at(self.fabric.now + lag_s, declare)

    def _clock(self, instance: Instance) -> float:
        return self.fabric.clock(instance.process)

    def _later(self, instance: Instance, delay_s: float, run) -> None:  # type: ignore[no-untyped-def]
        when = self.fabric.now + max(0.0, delay_s)
        self.fabric.on(instance.process, when, lambda: run(instance))
