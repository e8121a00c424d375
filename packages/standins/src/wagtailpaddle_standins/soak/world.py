"""Several nodes, the platform, backend servers and callers in one process."""

import json
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from random import Random
from typing import Any

from wagtailpaddle_config import (
    Applied,
    Change,
    IssueKey,
    PublishBase,
    Record,
    hash_secret,
)
from wagtailpaddle_core import AccountId, ErrorKind, KeyId, RequestId, ZoneId
from wagtailpaddle_fleet import Vm, new_incarnation, vm_id
from wagtailpaddle_node import (
    Append,
    CallPeer,
    Node,
    NodeAction,
    Replay,
    RequestHead,
)
from wagtailpaddle_once import StoredAnswer
from wagtailpaddle_peer import LogCodec
from wagtailpaddle_quota import Granted
from wagtailpaddle_routing import (
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    Deliver,
    Dispatch,
    Refuse,
)

from wagtailpaddle_standins.fakes.audit import RateAudit
from wagtailpaddle_standins.fakes.fabric import Fabric, Process
from wagtailpaddle_standins.soak.audit import Audit
from wagtailpaddle_standins.soak.freshaudit import FreshAudit
from wagtailpaddle_standins.soak.host import Exchange, Host
from wagtailpaddle_standins.soak.platform import LogDownError, Platform
from wagtailpaddle_standins.soak.servers import Servers

ZONES = ("a", "b", "c")
N_SERVERS = 6
ACCOUNTS = ("large", "medium", "small")
RATES = {"large": (60.0, 60.0), "medium": (20.0, 20.0), "small": (4.0, 8.0)}
TICK_INTERVAL_S = 0.05
LOG_POLL_INTERVAL_S = 0.5
LIST_POLL_INTERVAL_S = 1.0
LOG_DELAY_S = 0.005
OVERLAP_S = 12.0


class World:
    """Drives nodes as a front end would and reports events to the audit."""

    def __init__(self, seed: int, *, n_vms: int = 5):
        self.fabric = Fabric(seed)
        self.random = Random(f"world/{seed}")
        self.platform = Platform(Random(f"log/{seed}"))
        self.servers = Servers(Random(f"servers/{seed}"))
        self.rates = {
            AccountId(name): RateAudit(name, *RATES[name], OVERLAP_S)
            for name in ACCOUNTS
        }
        self.audit = Audit(self.servers, self.rates)
        self.hosts: dict[str, Host] = {}
        self.freshness = FreshAudit(self.fabric, self.platform, self.hosts)
        self.secrets: dict[AccountId, list[str]] = {}
        self.n_requests = 0
        self.n_records = 0
        self.n_committed = 0
        self._seed = seed
        self.tick_s = TICK_INTERVAL_S
        self._codec = LogCodec()
        self.places = [f"10.0.0.{index + 1}:7000" for index in range(n_vms)]
        self.commit(PublishBase(self.document()))
        for name in ACCOUNTS:
            self.issue(AccountId(name))
        for place in self.places:
            self.start(place)

    def document(self, *, leaving: frozenset[str] = frozenset()) -> dict[str, Any]:
        """Return the base document with the servers in ``leaving`` marked so."""
        servers = {
            f"s{index}": {
                "address": "10.1.0.1",
                "port": 9000 + index,
                "zone": ZONES[index % len(ZONES)],
                "leaving": f"s{index}" in leaving,
            }
            for index in range(N_SERVERS)
        }
        return {
            "accounts": {
                name: {"rate": rate, "burst": burst}
                for name, (rate, burst) in RATES.items()
            },
            "services": {"main": {"servers": servers, "floor": 0.5}},
            "routes": {
                "read": {"path": "/read", "service": "main", "idempotent": True},
                "act": {"path": "/act", "service": "main"},
            },
        }

    def commit(self, change: Change) -> str:
        """Append a change as an operator would; return the id of its record."""
        self.n_records += 1
        record = Record(f"record-{self.n_records}", "operator", 0.0, None, change)
        self.n_committed += self._try_append(self._codec.encode(record))
        return record.id

    def _try_append(self, data: bytes) -> bool:
        before = self.platform.streams["config"].head
        with suppress(LogDownError):
            self.platform.append("config", data)
        return self.platform.streams["config"].head > before

    def issue(self, account: AccountId) -> str:
        """Issue a key and return its secret."""
        secret = f"secret-{self.n_records}"
        digest = hash_secret(secret)
        before = self.n_committed
        self.commit(IssueKey(KeyId(f"k{self.n_records}"), account, digest))
        if self.n_committed > before:
            self.secrets.setdefault(account, []).append(secret)
        return secret

    def discard_secret(self, account: AccountId, digest: str) -> None:
        """Stop callers from using the key with this hash."""
        self.secrets[account] = [
            secret for secret in self.secrets[account] if hash_secret(secret) != digest
        ]

    def start(self, place: str) -> Host:
        """Start a daemon at ``place`` with a new incarnation number."""
        zone = ZoneId(ZONES[self.places.index(place) % len(ZONES)])
        incarnation = new_incarnation(1e9 + self.fabric.now, self.random)
        vm = Vm(vm_id(place, incarnation), zone, place, place, incarnation)
        offset_s = self.random.uniform(0.0, 1e4)
        process = Process(vm.id, place, offset_s)
        node = Node(vm, self._codec, site="soak", seed=self._seed)
        host = self.hosts[place] = Host(process, node)
        self.platform.list_vm(vm)
        self._audit_grants(host)
        self._every(host, lambda: self.tick_s, lambda: self._tick(host))
        self._every(host, lambda: LOG_POLL_INTERVAL_S, lambda: self._poll(host))
        self._every(host, lambda: LIST_POLL_INTERVAL_S, lambda: self._list(host))
        return host

    def kill(self, place: str) -> None:
        """Kill a daemon without a graceful stop."""
        self.hosts[place].process.alive = False

    def stop(self, place: str) -> None:
        """Begin a graceful stop; the process ends after its hand-over."""
        host = self.hosts[place]
        if host.stopping or not host.process.alive:
            return
        host.stopping = True
        fabric, node = self.fabric, host.node
        self.carry_out(host, node.leave(fabric.clock(host.process)))
        fabric.on(host.process, fabric.now + 1.0, lambda: self._drain(host))

    def _drain(self, host: Host) -> None:
        host.node.drain()
        if host.exchanges:
            self._later(host, 0.1, lambda: self._drain(host))
            return
        self.carry_out(host, host.node.release(self.fabric.clock(host.process)))
        self._finish_stop(host, self.fabric.now + 5.0)

    def _finish_stop(self, host: Host, deadline_at: float) -> None:
        released = host.node.has_released and host.node.has_left
        if released or self.fabric.now > deadline_at:
            host.process.alive = False
            return
        self._later(host, 0.05, lambda: self._finish_stop(host, deadline_at))

    def live(self) -> list[Host]:
        """Return the daemons that have not ended."""
        return [host for host in self.hosts.values() if host.process.alive]

    # Events passed to a node

    def _tick(self, host: Host) -> None:
        now = self.fabric.clock(host.process)
        self.carry_out(host, host.node.on_tick(now))
        for append in host.node.due_snapshots(self.fabric.now):
            self._append(host, append)

    def _poll(self, host: Host) -> None:
        sent_at = self.fabric.clock(host.process)
        for index, stream in enumerate(("config", "shares")):
            start = host.node.read_from[index]
            read = partial(self._read, host, stream, start, sent_at)
            self.fabric.at(self.fabric.now + LOG_DELAY_S, read)

    def _read(self, host: Host, stream: str, start: int, sent_at: float) -> None:
        if (host.process.place, "log") in self.fabric.cuts:
            return
        try:
            read = self.platform.read(stream, start)
        except LogDownError:
            return

        def arrive() -> None:
            now = self.fabric.clock(host.process)
            if stream == "shares":
                on_read = host.node.on_shares_read
            else:
                if start < read.first:
                    host.node.on_config_trimmed(read.first)
                    return
                on_read = host.node.on_config_read
            self.carry_out(
                host, on_read(now, sent_at, read.records, read.first, read.head)
            )

        self._later(host, LOG_DELAY_S, arrive)

    def _list(self, host: Host) -> None:
        if not self.platform.list_is_up:
            return
        entries = tuple(self.platform.listed.values())
        now = self.fabric.clock(host.process)
        self.carry_out(host, host.node.on_vm_list(now, entries))

    def request(self, host: Host, account: AccountId, path: str, key: str = "") -> None:
        """Send a caller's request to a node."""
        self.n_requests += 1
        request = RequestId(f"r{self.n_requests}")
        secret = self.random.choice(self.secrets[account])
        head = RequestHead(
            id=request,
            host="h",
            path=path,
            method="POST" if path == "/act" else "GET",
            key_hash=hash_secret(secret),
            timeout_s=self.random.choice((1.0, 3.0, 5.0)),
            idempotency_key=key or None,
            fingerprint=path,
        )
        if path == "/act":
            self.audit.once_only.add(request)
        host.exchanges[request] = Exchange(head, account)
        now = self.fabric.clock(host.process)
        self.carry_out(host, host.node.on_request(now, head))

    def cancel(self, host: Host, request: RequestId) -> None:
        """Cancel a request because its caller disconnected."""
        now = self.fabric.clock(host.process)
        is_running, actions = host.node.on_cancel(now, request)
        if not is_running:
            host.exchanges.pop(request, None)
        self.carry_out(host, actions)

    # Actions returned by a node

    def carry_out(self, host: Host, actions: tuple[NodeAction, ...]) -> None:
        """Execute the actions that a node returned."""
        for action in actions:
            match action:
                case Dispatch():
                    self._dispatch(host, action)
                case Deliver() | Replay():
                    exchange = host.exchanges.pop(action.request, None)
                    if exchange is not None:
                        self.audit.on_answer(action.request, exchange.account)
                case Refuse():
                    if host.exchanges.pop(action.request, None) is not None:
                        self.audit.on_refusal(action.request, action.kind)
                        if action.kind is ErrorKind.NOT_FRESH:
                            self.freshness.on_refusal(host)
                case CancelAttempt():
                    pass
                case CallPeer():
                    self._call(host, action)
                case Append():
                    self._append(host, action)

    def _dispatch(self, host: Host, action: Dispatch) -> None:
        exchange = host.exchanges[action.request]
        exchange.attempt = action.attempt
        head = exchange.head
        self.audit.on_dispatch(self.fabric.now, head.key_hash, action.server)
        key = None
        if head.idempotency_key is not None:
            key = (exchange.account, head.idempotency_key)
        ending = self.servers.attempt(action.server, action.request, key)
        sent_at = self.fabric.clock(host.process)
        attempt = action.attempt

        def end(outcome: AttemptOutcome, status: int = 0) -> None:
            current = host.exchanges.get(action.request)
            if current is None or current.attempt != attempt:
                return
            current.attempt = 0
            now = self.fabric.clock(host.process)
            result = AttemptResult(outcome, now - sent_at, status)
            is_answer = outcome is AttemptOutcome.ANSWERED
            answer = StoredAnswer(status, (), b"answer") if is_answer else None
            self.carry_out(
                host, host.node.on_attempt(now, action.request, result, answer)
            )

        def time_out() -> None:
            current = host.exchanges.get(action.request)
            if current is None or current.attempt != attempt:
                return
            now = self.fabric.clock(host.process)
            timeout_at = host.node.extend_timeout(now, action.request)
            if timeout_at > now:
                self._later(host, timeout_at - now, time_out)
            else:
                end(AttemptOutcome.TIMED_OUT)

        if ending is not None:
            self._later(
                host, ending.delay_s, partial(end, ending.outcome, ending.status)
            )
        self._later(host, max(0.0, action.timeout_at - sent_at), time_out)

    def _call(self, host: Host, action: CallPeer) -> None:
        target = self.hosts.get(action.address)

        def handle() -> object:
            assert target is not None
            if action.receiver not in ("", target.node.vm.id):
                return None
            now = self.fabric.clock(target.process)
            sender = host.node.vm.id
            return (target.node.on_message(now, sender, action.body),)

        def on_reply(reply: Any) -> None:
            now = self.fabric.clock(host.process)
            if reply is None:
                actions = host.node.on_peer_failed(now, action.call)
            else:
                actions = host.node.on_peer_reply(now, action.call, reply[0])
            self.carry_out(host, actions)

        def on_failed() -> None:
            now = self.fabric.clock(host.process)
            self.carry_out(host, host.node.on_peer_failed(now, action.call))

        process = target.process if target is not None else None
        self.fabric.call(host.process, process, handle, on_reply, on_failed)

    def _append(self, host: Host, append: Append) -> None:
        record: Any = append.record

        def arrive() -> None:
            try:
                if (host.process.place, "log") in self.fabric.cuts:
                    raise LogDownError
                self.platform.append(append.stream, self._codec.encode(record))
            except LogDownError:
                self._later(host, LOG_DELAY_S, fail)

        def fail() -> None:
            now = self.fabric.clock(host.process)
            host.node.on_append_failed(now, append)

        self.fabric.at(self.fabric.now + LOG_DELAY_S, arrive)

    def _audit_grants(self, host: Host) -> None:
        quota = host.node.control.quota
        acquire = quota.acquire

        def audited(now: float, account: AccountId, deadline_at: float) -> Any:
            decision = acquire(now, account, deadline_at)
            if isinstance(decision, Granted):
                self.audit.on_granted(self.fabric.now, account)
            return decision

        quota.acquire = audited  # type: ignore[method-assign]

    def _later(self, host: Host, delay_s: float, run: Any) -> None:
        self.fabric.on(host.process, self.fabric.now + delay_s, run)

    def _every(self, host: Host, interval_s: Callable[[], float], run: Any) -> None:
        def step() -> None:
            run()
            self._later(host, interval_s(), step)

        self._later(host, self.random.uniform(0.0, interval_s()), step)

    def result_of(self, record_id: str) -> Applied | None:
        """Return the result of a record from any node that has folded it."""
        for host in self.live():
            found = host.node.fold.result_of(record_id)
            if isinstance(found, Applied):
                return found
        return None

    def fingerprint(self) -> str:
        """Return a string that is equal for equal runs."""
        facts = [self.n_requests, self.fabric.n_messages, sorted(self.audit.refused)]
        return json.dumps([*facts, sorted(self.audit.served.items())])
