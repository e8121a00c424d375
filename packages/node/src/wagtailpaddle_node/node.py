"""The node: composes the decision packages behind one interface."""

from collections.abc import Iterable
from typing import Any

from wagtailpaddle_config import Configuration
from wagtailpaddle_core import Offset, RequestId, ServerId, ServiceId, VmId, ZoneId
from wagtailpaddle_fleet import CallerAddresses, ListedVm, Vm
from wagtailpaddle_health import HealthBook
from wagtailpaddle_once import StoredAnswer
from wagtailpaddle_routing import AttemptResult, Dispatcher, Probe, ProbeResult

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.control import Control
from wagtailpaddle_node.flow import RequestFlow
from wagtailpaddle_node.follow import RawLogRecord
from wagtailpaddle_node.messages import Append, NodeAction, RequestHead, RequestView
from wagtailpaddle_node.pace import Pace
from wagtailpaddle_node.wholestate import Codec

STALL_S = 1.0


class Node:
    """All decisions of one daemon.

    Events and the present time (seconds of a clock that never goes back) come
    in, frozen actions go out. No method blocks or does I/O, so any front end
    can drive it. ``codec`` is only used to relay records between VMs.
    """

    def __init__(
        self,
        vm: Vm,
        codec: Codec,
        *,
        site: str,
        seed: int = 0,
        policy: str = "scan",
        max_waiting: int = 1024,
    ):
        self.vm = vm
        self.health = HealthBook(vm.id, zone=vm.zone, policy=policy, seed=seed)
        self.dispatcher = Dispatcher(zone=vm.zone, max_waiting=max_waiting, seed=seed)
        self.backends = Backends(self.health, self.dispatcher)
        self.control = Control(vm, self.backends, codec, site=site, seed=seed)
        self._flow = RequestFlow(self.control, self.backends, self.dispatcher)
        self._event_at: float | None = None
        self._pace = Pace()

    # State

    @property
    def fold(self) -> Any:
        """The fold of the log, for operators' commands."""
        return self.control.fold

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this VM."""
        return self.control.configuration

    @property
    def draining(self) -> bool:
        """Whether new requests are refused."""
        return self._flow.draining

    def is_fresh(self, now: float) -> bool:
        """Return whether this VM may serve at ``now``."""
        return self.control.membership.is_fresh(now)

    def is_ready(self, now: float) -> bool:
        """Return whether this VM serves, with usable shares and claims."""
        shares = self.control.quota.status(now)
        claims = self.control.claims.status()
        unsettled = shares.n_waiting + shares.n_vacant + claims.n_partitions_syncing
        seated = self.control.membership.roster.members
        knows = self.control.knows_roster and shares.may_spend
        knows = knows and any(vm.id == self.vm.id for vm in seated)
        return self.is_fresh(now) and knows and not unsettled

    def request_view(self, request: RequestId) -> RequestView:
        """Return whose request it is, or was if it ended a short time ago."""
        return self._flow.view(request)

    def server_address(self, service: ServiceId, server: ServerId) -> tuple[str, int]:
        """Return where a configured server listens. Raises ``LookupError``."""
        for known in self.configuration.services[service].servers:
            if known.id == server:
                return known.address, known.port
        raise LookupError(f"server {server!r} is not in service {service!r}")

    def addresses(
        self, now: float, key_hash: str | None, zone: ZoneId | None
    ) -> CallerAddresses:
        """Return the addresses that a caller should use, best first."""
        account = None
        if key_hash is not None:
            account = self.configuration.account_for(key_hash)
        membership = self.control.membership
        homes: tuple[VmId, ...] = ()
        if account is not None:
            vms = [vm.id for vm in membership.vms(now)]
            homes = self.control.quota.homes(account.id, vms)
        name = account.id if account is not None else None
        return membership.addresses_for(now, account=name, zone=zone, homes=homes)

    def next_wake(self, now: float) -> float:
        """Return when ``on_tick`` is worth the next call; not before ``now``."""
        at = self._pace.next_tick(now)
        request_at = self._flow.next_wake(now)
        return max(now, at if request_at is None else min(at, request_at))

    # Events of the log, of peers and of time

    @property
    def read_from(self) -> tuple[Offset, Offset]:
        """Where to read the ``config`` and the ``shares`` stream next."""
        return self.control.stream.read_from, self.control.quota.next_offset

    def on_config_trimmed(self, first: Offset) -> None:
        """The ``config`` stream holds nothing before ``first``."""
        self.control.stream.on_trimmed(first)

    def on_config_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> tuple[NodeAction, ...]:
        """The log answered a read of ``config`` that was sent at ``sent_at``."""
        swept = self._begin(now)
        actions = self.control.on_config_read(now, sent_at, records, first, head)
        return swept + self._flow.settle(now, actions) + self._flow.sweep(now)

    def on_shares_read(
        self,
        now: float,
        sent_at: float,
        records: Iterable[RawLogRecord],
        first: Offset,
        head: Offset,
    ) -> tuple[NodeAction, ...]:
        """The log answered a read of ``shares`` that was sent at ``sent_at``."""
        self._note_time(now)
        self.control.on_shares_read(now, sent_at, records, first, head)
        return ()

    def on_append_failed(self, now: float, append: Append) -> None:
        """An append was not confirmed by the log."""
        self.control.on_append_failed(now, append)

    def on_vm_list(
        self, now: float, entries: Iterable[ListedVm]
    ) -> tuple[NodeAction, ...]:
        """The platform answered with its list of VMs."""
        swept = self._begin(now)
        return swept + self._flow.settle(now, self.control.on_vm_list(now, entries))

    def on_message(self, now: float, sender: VmId, body: Any) -> Any:
        """Return the reply to a peer's message, None if there is nothing to say."""
        self._note_time(now)
        self._pace.stir(now)
        return self.control.on_message(now, sender, body)

    def on_peer_reply(
        self, now: float, call: int, reply: Any
    ) -> tuple[NodeAction, ...]:
        """A peer answered a ``CallPeer``."""
        swept = self._begin(now)
        self._pace.stir(now)
        actions = self.control.on_peer_reply(now, call, reply)
        actions = self._flow.settle(now, actions) + self._flow.retry_tokens(now)
        return swept + actions + self._flow.sweep(now)

    def on_peer_failed(self, now: float, call: int) -> tuple[NodeAction, ...]:
        """A ``CallPeer`` brought no reply; it may have arrived."""
        swept = self._begin(now)
        return swept + self._flow.settle(now, self.control.on_peer_failed(now, call))

    def on_tick(self, now: float) -> tuple[NodeAction, ...]:
        """Act on the passing of time; called when ``next_wake`` says."""
        actions = self._begin(now)
        self._pace.ticked(now)
        actions += self._flow.settle(now, self.control.tick(now))
        actions += self._flow.settle(now, self.backends.tick(now))
        actions += self._flow.retry_tokens(now)
        actions += self._flow.settle(now, self.dispatcher.tick(now))
        actions += self._flow.sweep(now)
        if actions or self._flow.n_requests:
            self._pace.stir(now)
        return actions

    def snapshots(self, wall_s: float) -> tuple[Append, ...]:
        """Return the snapshot records to append now; ask once a second."""
        return self.control.snapshots(wall_s)

    def track(self, now: float, offset: Offset) -> tuple[NodeAction, ...]:
        """Begin to count the VMs that confirm the change at ``offset``."""
        return self._flow.settle(now, self.control.track(now, offset))

    # Graceful stop

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._flow.draining = True

    def release(self, now: float) -> tuple[NodeAction, ...]:
        """Hand over shares and claims, once no request is in flight."""
        return self._flow.settle(now, self.control.release(now))

    def leave(self, now: float) -> tuple[NodeAction, ...]:
        """Hand over the seats, once shares and claims are handed over."""
        return self._flow.settle(now, self.control.leave(now))

    @property
    def has_released(self) -> bool:
        """Whether shares and claims are in other hands."""
        return self.control.quota.released and self.control.claims.released

    @property
    def has_left(self) -> bool:
        """Whether nothing in the fleet depends on this VM any more."""
        return self.control.membership.has_left

    # Events of requests

    def on_request(self, now: float, head: RequestHead) -> tuple[NodeAction, ...]:
        """Admit a request or refuse it."""
        swept = self._begin(now)
        self._pace.stir(now)
        return swept + self._flow.begin(now, head)

    def on_attempt(
        self,
        now: float,
        request: RequestId,
        result: AttemptResult,
        answer: StoredAnswer | None = None,
    ) -> tuple[NodeAction, ...]:
        """Take in the end of an attempt.

        ``answer`` is the whole answer if it can be kept for repeats.
        """
        swept = self._begin(now)
        return swept + self._flow.finish(now, request, result, answer)

    def on_cancel(
        self, now: float, request: RequestId
    ) -> tuple[bool, tuple[NodeAction, ...]]:
        """The caller of ``request`` went away; return whether it goes on.

        A request whose repeats are caught does, so that its outcome is kept
        for the caller's next try.
        """
        swept = self._begin(now)
        goes_on, actions = self._flow.cancel(now, request)
        return goes_on, swept + actions

    def on_server_leaving(
        self, now: float, service: ServiceId, server: ServerId
    ) -> tuple[NodeAction, ...]:
        """A server said in an answer that it gets no new work."""
        swept = self._begin(now)
        marked = self.backends.note_leaving(now, (service, server), leaving=True)
        told = self.control.tell_leaving(now)
        return swept + self._flow.settle(now, marked + told)

    # Health endpoints

    def next_probe_at(self) -> float | None:
        """Return when a health endpoint is to be asked, None if none is."""
        return self.control.pages.plan.next_at()

    def due_probes(self, now: float) -> tuple[Probe, ...]:
        """Return the probes to send now; each is owed an ``on_probe``."""
        return self.control.pages.plan.due(now)

    def on_probe(
        self, now: float, probe: Probe, result: ProbeResult
    ) -> tuple[NodeAction, ...]:
        """Take in what came of a probe."""
        swept = self._begin(now)
        actions = self.control.pages.on_probe(now, probe, result)
        told = self.control.tell_leaving(now)
        return swept + self._flow.settle(now, actions + told)

    def _begin(self, now: float) -> tuple[NodeAction, ...]:
        """Begin an event that may dispatch: refuse what may no longer run.

        It comes first, because the process may have been paused.
        """
        self._note_time(now)
        return self._flow.sweep(now)

    def _note_time(self, now: float) -> None:
        """Find out whether the loop stood still since the last event."""
        last = self._event_at
        self._event_at = now
        if last is not None and now - last > STALL_S:
            self.control.on_stall(now, now - last)
