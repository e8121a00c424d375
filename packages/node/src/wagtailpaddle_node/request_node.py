"""Base class of nodes: event handling that is the same for every control plane."""

from typing import TYPE_CHECKING, Any

from wagtailpaddle_config import Configuration
from wagtailpaddle_core import RequestId, ServerId, ServiceId, VmId
from wagtailpaddle_once import StoredAnswer
from wagtailpaddle_routing import AttemptResult, Dispatcher, Probe, ProbeResult

from wagtailpaddle_node.backends import Backends
from wagtailpaddle_node.messages import (
    ConfigState,
    NodeAction,
    RequestHead,
    RequestView,
)
from wagtailpaddle_node.request_pipeline import RequestPipeline
from wagtailpaddle_node.tick_scheduler import TickScheduler

if TYPE_CHECKING:
    from wagtailpaddle_node.explanation import Explanation, RequestDescription

MIN_STALL_S = 1.0


class RequestNode:
    """Handles the events of one daemon; ``control`` decides which requests may run.

    Methods receive an event and the current time, in seconds of a monotonic
    clock, and return frozen actions. No method blocks or does I/O, so any front
    end can drive the node.
    """

    def __init__(self, control: Any, backends: Backends, dispatcher: Dispatcher):
        self.control = control
        self.backends = backends
        self.health = backends.health
        self.dispatcher = dispatcher
        self._pipeline = RequestPipeline(control, backends, dispatcher)
        self._last_event_at: float | None = None
        self._tick_scheduler = TickScheduler()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this VM."""
        return self.control.configuration

    def config_state(self, now: float) -> ConfigState:
        """Return which configuration decides at ``now``, for logs and metrics."""
        return ConfigState(self.configuration.revision)

    def explain(self, now: float, asked: "RequestDescription") -> "Explanation":
        """Return where a request would go now and why; no state changes."""
        # Most VMs are never asked for an explanation.
        from wagtailpaddle_node.explanation import explain

        return explain(self._pipeline, now, asked)

    @property
    def draining(self) -> bool:
        """Whether new requests are refused because the VM is stopping."""
        return self._pipeline.draining

    def is_fresh(self, now: float) -> bool:
        """Return whether this VM may serve at ``now``."""
        return self.control.membership.is_fresh(now)

    def request_view(self, request: RequestId) -> RequestView:
        """Return the account and route of a pending or recently ended request."""
        return self._pipeline.view(request)

    def server_address(self, service: ServiceId, server: ServerId) -> tuple[str, int]:
        """Return where a configured server listens. Raises ``LookupError``."""
        for known in self.configuration.services[service].servers:
            if known.id == server:
                return known.address, known.port
        raise LookupError(f"server {server!r} is not in service {service!r}")

    def next_wake(self, now: float) -> float:
        """Return when ``on_tick`` should be called next; not before ``now``."""
        at = self._tick_scheduler.next_tick(now)
        request_at = self._pipeline.next_wake(now)
        return max(now, at if request_at is None else min(at, request_at))

    def is_activity(self, reply: Any) -> bool:
        """Return whether a peer's reply should make the following ticks frequent."""
        return True

    # Events from peers and timers

    def on_message(self, now: float, sender: VmId, body: Any) -> Any:
        """Return the reply to a peer's message, or None for no reply."""
        self._check_stall(now)
        self._tick_scheduler.record_activity(now)
        return self.control.on_message(now, sender, body)

    def on_peer_reply(
        self, now: float, call: int, reply: Any
    ) -> tuple[NodeAction, ...]:
        """A peer answered a ``CallPeer``."""
        refused = self._begin_event(now)
        if self.is_activity(reply):
            self._tick_scheduler.record_activity(now)
        actions = self.control.on_peer_reply(now, call, reply)
        actions = self._pipeline.settle(now, actions) + self._pipeline.retry_tokens(now)
        return refused + actions + self._pipeline.sweep(now)

    def on_peer_failed(self, now: float, call: int) -> tuple[NodeAction, ...]:
        """A ``CallPeer`` got no reply; the peer may still have received it."""
        refused = self._begin_event(now)
        return refused + self._pipeline.settle(
            now, self.control.on_peer_failed(now, call)
        )

    def on_tick(self, now: float) -> tuple[NodeAction, ...]:
        """Run the timers of all parts; call it at the time of ``next_wake``."""
        actions = self._begin_event(now)
        self._tick_scheduler.record_tick(now)
        actions += self._pipeline.settle(now, self.control.tick(now))
        actions += self._pipeline.settle(now, self.backends.tick(now))
        actions += self._pipeline.retry_tokens(now)
        actions += self._pipeline.settle(now, self.dispatcher.tick(now))
        actions += self._pipeline.sweep(now)
        if actions or self._pipeline.n_requests:
            self._tick_scheduler.record_activity(now)
        return actions

    def drain(self) -> None:
        """Refuse new requests from now on."""
        self._pipeline.draining = True

    def drain_until(self, ends_at: float) -> None:
        """Refuse new requests from now on that may outlast this VM.

        It stops at ``ends_at`` and would cut them, which leaves it unknown whether
        they ran. Shorter ones are still served on open connections.
        """
        self._pipeline.ends_at = ends_at

    def drain_queues_until(self, now: float, ends_at: float) -> tuple[NodeAction, ...]:
        """Refuse queued requests, now and later, whose turn is after this VM's end."""
        refused = self._begin_event(now)
        drained = self.dispatcher.drain_until(now, ends_at)
        return refused + self._pipeline.settle(now, drained)

    def refuse_waiting(self, now: float) -> tuple[NodeAction, ...]:
        """Refuse every request that still waits, since the VM stops now."""
        return self._begin_event(now) + self._pipeline.refuse_waiting(now)

    def abandon_running(self, now: float) -> tuple[NodeAction, ...]:
        """Refuse every request at a server as one that may have run, at the VM's end.

        Call it after ``refuse_waiting``.
        """
        return self._begin_event(now) + self._pipeline.abandon_running(now)

    # Events of requests and attempts

    def on_request(self, now: float, head: RequestHead) -> tuple[NodeAction, ...]:
        """Admit a request or refuse it."""
        refused = self._begin_event(now)
        self._tick_scheduler.record_activity(now)
        return refused + self._pipeline.begin(now, head)

    def on_attempt(
        self,
        now: float,
        request: RequestId,
        result: AttemptResult,
        answer: StoredAnswer | None = None,
    ) -> tuple[NodeAction, ...]:
        """Record the end of an attempt.

        ``answer`` is the complete response if it can be stored for replay.
        """
        refused = self._begin_event(now)
        actions = self._pipeline.finish(now, request, result, answer)
        return refused + actions + self.control.send_trust_notices(now)

    def has_queued(self, service: ServiceId) -> bool:
        """Return whether requests wait for a server of a service."""
        return self.dispatcher.has_queued(service)

    def extend_timeout(self, now: float, request: RequestId) -> float:
        """Return until when an attempt whose time-out is over may go on.

        ``now`` means that it is given up: end it and call ``on_attempt``.
        """
        return self.dispatcher.extend_timeout(now, request)

    def on_cancel(
        self, now: float, request: RequestId
    ) -> tuple[bool, tuple[NodeAction, ...]]:
        """The caller of ``request`` disconnected; return whether it continues.

        A request with an idempotency claim continues, so that its outcome is
        stored for the caller's retry.
        """
        refused = self._begin_event(now)
        continues, actions = self._pipeline.cancel(now, request)
        return continues, refused + actions

    def on_server_leaving(
        self, now: float, service: ServiceId, server: ServerId
    ) -> tuple[NodeAction, ...]:
        """A server stated in a response that it is leaving."""
        refused = self._begin_event(now)
        actions = self.backends.record_leaving(now, (service, server), leaving=True)
        notices = self.control.send_leaving_notices(now)
        return refused + self._pipeline.settle(now, actions + notices)

    # Probes of health endpoints

    def next_probe_at(self) -> float | None:
        """Return when the next probe is due, None without any target."""
        return self.control.health_probes.scheduler.next_at()

    def due_probes(self, now: float) -> tuple[Probe, ...]:
        """Return the probes to send now; report each result with ``on_probe``."""
        return self.control.health_probes.scheduler.due(now)

    def on_probe(
        self, now: float, probe: Probe, result: ProbeResult
    ) -> tuple[NodeAction, ...]:
        """Record the result of a probe."""
        refused = self._begin_event(now)
        actions = self.control.health_probes.on_probe(now, probe, result)
        notices = self.control.send_leaving_notices(now)
        return refused + self._pipeline.settle(now, actions + notices)

    def _begin_event(self, now: float) -> tuple[NodeAction, ...]:
        """Begin an event that may dispatch: refuse requests that may no longer run.

        This comes first because the process may have been paused.
        """
        self._check_stall(now)
        return self._pipeline.sweep(now)

    def _check_stall(self, now: float) -> None:
        """Report a stall of the event loop since the last event."""
        last = self._last_event_at
        self._last_event_at = now
        if last is not None and now - last > MIN_STALL_S:
            self.control.on_stall(now, now - last)
