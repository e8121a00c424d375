"""Several claim managers with a simulated roster and network."""

from collections import Counter
from collections.abc import Callable

from wagtailpaddle_core import AccountId, ErrorKind, RequestId, VmId, ZoneId
from wagtailpaddle_once import (
    ClaimManager,
    ClaimRoster,
    OnceAction,
    Reject,
    Replay,
    RosterMember,
    Run,
    RunOutcome,
    SendPeer,
    StoredAnswer,
)

from wagtailpaddle_standins.fakes.fabric import Fabric, NetworkFaults, Process

TICK_S = 0.05
GONE_LAG_S = 3.0
ACCOUNT = AccountId("kiosk")


class Instance:
    """One incarnation of a daemon, reduced to its claim manager."""

    __slots__ = ("gone", "manager", "process", "revision")

    def __init__(
        self,
        process: Process,
        manager: ClaimManager,
        revision: int,
        gone: set[VmId] | None = None,
    ) -> None:
        self.process = process
        self.manager = manager
        self.revision = revision
        self.gone: set[VmId] = set() if gone is None else gone


class Request:
    """One request and its outcome."""

    __slots__ = ("fingerprint", "id", "key", "outcome")

    def __init__(self, id: RequestId, key: str, fingerprint: str) -> None:
        self.id = id
        self.key = key
        self.fingerprint = fingerprint
        self.outcome: Run | Replay | Reject | None = None


class OnceAudit:
    """Counts the runs of each key on all VMs; ``faults`` lists the violations."""

    __slots__ = ("answers", "ends", "faults", "runs")

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.answers: dict[str, StoredAnswer] = {}
        self.faults: list[str] = []
        self.ends: Counter[str] = Counter()


class OnceFleet:
    """``n_vms`` places in three zones, each with one live incarnation."""

    def __init__(
        self,
        seed: int,
        *,
        n_vms: int = 6,
        n_partitions: int = 8,
        ttl_s: float = 60.0,
        max_bytes: int = 1_000_000,
        network_faults: NetworkFaults | None = None,
    ):
        self.fabric = Fabric(seed, network_faults)
        self.rng = self.fabric.rng
        self.audit = OnceAudit()
        self.places = [f"p{number}" for number in range(n_vms)]
        self.instances: dict[str, Instance] = {}
        self.by_vm: dict[VmId, Instance] = {}
        self.requests: dict[RequestId, Request] = {}
        self.removed: set[VmId] = set()
        self.roster_lag_s = 0.5
        self._options = {
            "n_partitions": n_partitions,
            "ttl_s": ttl_s,
            "max_bytes": max_bytes,
        }
        self._n_started = 0
        members = tuple(self._member(place) for place in self.places)
        self.rosters = [ClaimRoster(0, members)]
        for member, place in zip(members, self.places, strict=True):
            self._launch(member.vm, place)

    # Processes and roster changes

    def start(self, place: str) -> None:
        """Start a new incarnation, which joins the roster."""
        member = self._member(place)
        self._change((*self.rosters[-1].members, member))
        self._launch(member.vm, place)

    def crash(self, place: str) -> None:
        """Kill a process without a graceful stop."""
        instance = self.instances.pop(place, None)
        if instance is None:
            return
        instance.process.alive = False
        vm = instance.manager.vm
        self.fabric.at(self.fabric.now + GONE_LAG_S, lambda: self._remove(vm))

    def replace(self, place: str, hand_over_s: float = 2.0) -> None:
        """Stop a process gracefully, then start its successor."""
        instance = self.instances.get(place)
        if instance is None:
            return

        def stop() -> None:
            self._act(instance, instance.manager.release(self._clock(instance)))
            self._later(instance, hand_over_s, finish)

        def finish() -> None:
            if self.instances.get(place) is instance:
                self.crash(place)
                self._remove(instance.manager.vm)
                self.start(place)

        self.fabric.on(instance.process, self.fabric.now, stop)

    def pause(self, place: str, seconds: float) -> None:
        """Suspend a process for ``seconds``."""
        instance = self.instances.get(place)
        if instance is not None:
            instance.process.paused_until = self.fabric.now + seconds

    def request(
        self,
        place: str,
        key: str,
        fingerprint: str = "f",
        outcome: RunOutcome | None = None,
        timeout_s: float = 5.0,
    ) -> RequestId:
        """Send a request; ``outcome`` is the outcome of a run of it."""
        request = RequestId(f"r{len(self.requests)}")
        self.requests[request] = Request(request, key, fingerprint)
        instance = self.instances.get(place)
        chosen = outcome or self.rng.choice(
            [RunOutcome.ANSWERED] * 4 + [RunOutcome.UNKNOWN, RunOutcome.NOT_RUN]
        )
        if instance is None:
            return request

        def arrive() -> None:
            now = self._clock(instance)
            actions = instance.manager.begin(
                now, request, ACCOUNT, key, fingerprint, now + timeout_s
            )
            self._act(instance, actions, chosen)

        self.fabric.on(instance.process, self.fabric.now, arrive)
        return request

    def _end(
        self, instance: Instance, action: Run | Replay | Reject, chosen: RunOutcome
    ) -> None:
        request = self.requests[action.request]
        if request.outcome is not None:
            self.audit.faults.append(f"{request.id} ended twice")
        request.outcome = action
        if isinstance(action, Run):
            self.audit.ends["run"] += 1
            self._run(instance, request, chosen)
        elif isinstance(action, Replay):
            self.audit.ends["replay"] += 1
            if action.answer != self.audit.answers.get(request.key):
                self.audit.faults.append(f"{request.key} replayed {action.answer}")
        else:
            self.audit.ends[action.kind.value] += 1
            self._check_reject(request, action)

    def _check_reject(self, request: Request, action: Reject) -> None:
        if action.kind is not ErrorKind.IDEMPOTENCY_MISMATCH:
            return
        fingerprints = {
            r.fingerprint for r in self.requests.values() if r.key == request.key
        }
        if len(fingerprints) < 2:
            self.audit.faults.append(f"{request.id} wrongly called another request")

    def _run(self, instance: Instance, request: Request, chosen: RunOutcome) -> None:
        answer = StoredAnswer(200, (), f"{request.id}".encode())
        if chosen is not RunOutcome.NOT_RUN:
            self.audit.runs[request.key] += 1
            self.audit.answers[request.key] = answer
            if self.audit.runs[request.key] > 1:
                self.audit.faults.append(f"{request.key} ran twice")

        def done() -> None:
            now = self._clock(instance)
            self._act(
                instance, instance.manager.finish(now, request.id, chosen, answer)
            )

        self._later(instance, self.rng.choice([0.02, 0.2, 2.0]), done)

    # Daemon loop

    def _launch(self, vm: VmId, place: str) -> None:
        process = Process(vm, place, self.rng.uniform(0.0, 1000.0))
        manager = ClaimManager(
            vm,
            n_partitions=int(self._options["n_partitions"]),
            ttl_s=self._options["ttl_s"],
            max_bytes=int(self._options["max_bytes"]),
        )
        instance = Instance(process, manager, revision=-1, gone=set(self.removed))
        self.instances[place] = instance
        self.by_vm[vm] = instance
        instance.revision = self.rosters[-1].revision
        self._apply_roster(instance, instance.revision)
        self._later(instance, self.rng.uniform(0, TICK_S), lambda: self._tick(instance))

    def _apply_roster(self, instance: Instance, revision: int) -> None:
        now = self._clock(instance)
        previous = self.rosters[revision - 1] if revision else None
        actions = instance.manager.on_roster(
            now, self.rosters[revision], previous, frozenset(instance.gone)
        )
        self._act(instance, actions)

    def _tick(self, instance: Instance) -> None:
        behind = instance.revision < self.rosters[-1].revision
        if behind and self.rng.random() < TICK_S / self.roster_lag_s:
            latest = self.rosters[-1].revision
            for revision in range(instance.revision + 1, latest + 1):
                instance.revision = revision
                self._apply_roster(instance, revision)
        self._act(instance, instance.manager.tick(self._clock(instance)))
        self._later(instance, TICK_S, lambda: self._tick(instance))

    def _act(
        self,
        instance: Instance,
        actions: tuple[OnceAction, ...],
        chosen: RunOutcome | None = None,
    ) -> None:
        for action in actions:
            if isinstance(action, SendPeer):
                self._call(instance, action)
            else:
                self._end(instance, action, chosen or RunOutcome.ANSWERED)

    def _call(self, instance: Instance, action: SendPeer) -> None:
        target = self.by_vm.get(action.vm)
        manager = instance.manager

        def handle() -> object:
            assert target is not None
            now = self._clock(target)
            return target.manager.on_message(now, manager.vm, action.message)

        def on_reply(reply: object) -> None:
            now = self._clock(instance)
            actions = manager.on_reply(now, action.vm, action.message, reply)  # type: ignore[arg-type]
            self._act(instance, actions)

        def on_failed() -> None:
            now = self._clock(instance)
            self._act(instance, manager.on_call_failed(now, action.vm, action.message))

        self.fabric.call(
            instance.process,
            target.process if target else None,
            handle,
            on_reply,
            on_failed,
        )

    def _member(self, place: str) -> RosterMember:
        self._n_started += 1
        zone = ZoneId(f"z{self.places.index(place) % 3}")
        return RosterMember(VmId(f"{place}.{self._n_started}"), zone)

    def _change(self, members: tuple[RosterMember, ...]) -> None:
        self.rosters.append(ClaimRoster(self.rosters[-1].revision + 1, members))

    def _remove(self, vm: VmId) -> None:
        members = self.rosters[-1].members
        remaining = tuple(member for member in members if member.vm != vm)
        if remaining != members:
            self._change(remaining)
        self.removed.add(vm)
        for instance in self.by_vm.values():
            if instance.manager.vm != vm:
                instance.gone.add(vm)

    def _clock(self, instance: Instance) -> float:
        return self.fabric.clock(instance.process)

    def _later(
        self, instance: Instance, delay_s: float, run: Callable[[], None]
    ) -> None:
        self.fabric.on(instance.process, self.fabric.now + delay_s, run)
