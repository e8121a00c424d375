"""What every node does with requests, peers and time, whatever its control side."""

from typing import Any

from wagtailpaddle_config import Configuration
from wagtailpaddle_core import RequestId, ServerId, ServiceId, VmId
from wagtailpaddle_once import StoredAnswer
from wagtailpaddle_routing import AttemptResult, Dispatcher, Probe, ProbeResult

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.flow import RequestFlow
from wagtailpaddle_node.messages import NodeAction, RequestHead, RequestView
from wagtailpaddle_node.pace import Pace

STALL_S = 1.0


class RequestNode:
    """Takes requests to their answers, with ``control`` to say what may run.

    Events and the present time (seconds of a clock that never goes back) come
    in, frozen actions go out. No method blocks or does I/O, so any front end
    can drive it.
    """

    def __init__(self, control: Any, backends: Backends, dispatcher: Dispatcher):
        self.control = control
        self.backends = backends
        self.health = backends.health
        self.dispatcher = dispatcher
        self._flow = RequestFlow(control, backends, dispatcher)
        self._event_at: float | None = None
        self._pace = Pace()

    # State

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

    def request_view(self, request: RequestId) -> RequestView:
        """Return whose request it is, or was if it ended a short time ago."""
        return self._flow.view(request)

    def server_address(self, service: ServiceId, server: ServerId) -> tuple[str, int]:
        """Return where a configured server listens. Raises ``LookupError``."""
        for known in self.configuration.services[service].servers:
            if known.id == server:
                return known.address, known.port
        raise LookupError(f"server {server!r} is not in service {service!r}")

    def next_wake(self, now: float) -> float:
        """Return when ``on_tick`` is worth the next call; not before ``now``."""
        at = self._pace.next_tick(now)
        request_at = self._flow.next_wake(now)
        return max(now, at if request_at is None else min(at, request_at))

    def stirs(self, reply: Any) -> bool:
        """Return whether something may follow soon from what a peer replied."""
        return True

    # Events of peers and of time

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
        if self.stirs(reply):
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

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._flow.draining = True

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
        actions = self._flow.finish(now, request, result, answer)
        return swept + actions + self.control.tell_trust(now)

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
