"""Probes of the servers' health endpoints by this VM."""

from collections.abc import Iterable
from random import Random

from wagtailpaddle_config import Configuration, Service
from wagtailpaddle_core import ServerId, ServiceId, VmId, score
from wagtailpaddle_health import N_MONITORS, Verdict
from wagtailpaddle_routing import (
    Action,
    Probe,
    ProbeReading,
    ProbeResult,
    ProbeScheduler,
    interpret_probe,
)

from wagtailpaddle_node.backends import Backends


class HealthProbes:
    """Probes the services that this VM monitors.

    Each service has a few monitors, the same VMs that pool its health evidence,
    so the number of probes of a server does not grow with the fleet. For each
    service the VMs that rank before this one are counted, so a VM that joins
    or leaves costs one score per service.
    """

    def __init__(self, vm: VmId, backends: Backends, *, seed: int = 0):
        self.scheduler = ProbeScheduler(Random(f"probes/{seed}/{vm}"))
        self._vm = vm
        self._backends = backends
        self._vms: frozenset[VmId] = frozenset()
        self._services: dict[ServiceId, Service] = {}
        self._n_ahead: dict[ServiceId, int] = {}

    def configure(self, now: float, cfg: Configuration) -> None:
        """Apply the services of a configuration."""
        asked = {
            name: service
            for name, service in cfg.services.items()
            if service.health_path
        }
        if all(self._services.get(name) is item for name, item in asked.items()) and (
            len(asked) == len(self._services)
        ):
            return
        self._services = asked
        self._n_ahead = {
            name: self._n_ahead[name]
            if name in self._n_ahead
            else self._count(name, self._vms)
            for name in asked
        }
        self._retarget(now)

    def set_vms(self, now: float, vms: Iterable[VmId]) -> None:
        """Set the VMs of the fleet."""
        known = frozenset(vms)
        came, went = known - self._vms, self._vms - known
        if not came and not went:
            return
        self._vms = known
        for name in self._n_ahead:
            self._n_ahead[name] += self._count(name, came) - self._count(name, went)
        self._retarget(now)

    def on_probe(
        self, now: float, probe: Probe, result: ProbeResult
    ) -> tuple[Action, ...]:
        """Record the result of a probe; return actions for waiting requests.

        Results for servers that are no longer probed are ignored.
        """
        target = probe.service, probe.server
        if target not in self.scheduler:
            return ()
        reading = interpret_probe(result)
        self._hint(now, target, reading)
        if reading.leaving is None:
            return ()
        return self._backends.record_leaving(now, target, leaving=reading.leaving)

    def _hint(
        self, now: float, target: tuple[ServiceId, ServerId], reading: ProbeReading
    ) -> None:
        health = self._backends.health
        if reading.load is not None:
            health.report_load(now, *target, reading.load)
            self._backends.dispatcher.report_load(now, *target, reading.load)
        if reading.unreachable:
            health.report_probe(now, *target, Verdict.UNREACHABLE)
        elif reading.failed:
            health.report_probe(now, *target, Verdict.FAILURE)

    def _count(self, service: ServiceId, vms: Iterable[VmId]) -> int:
        """Return how many of ``vms`` rank before this VM for a service."""
        own = score(service, self._vm), self._vm
        return sum((score(service, vm), vm) > own for vm in vms if vm != self._vm)

    def _retarget(self, now: float) -> None:
        self.scheduler.set_targets(
            now,
            {
                (name, server.id): service.health_path
                for name, service in self._services.items()
                if self._n_ahead[name] < N_MONITORS
                for server in service.servers
                if not server.leaving
            },
        )
