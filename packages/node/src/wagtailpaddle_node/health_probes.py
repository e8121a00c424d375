"""Probes of the servers' health endpoints by this VM."""

from collections.abc import Iterable
from random import Random

from wagtailpaddle_config import Configuration, Service
from wagtailpaddle_core import ServerId, ServiceId, VmId, ZoneId, score
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
        self._evacuated: frozenset[ZoneId] = frozenset()
        self._n_outranking: dict[ServiceId, int] = {}

    def configure(self, now: float, cfg: Configuration) -> None:
        """Apply the services of a configuration."""
        probed = {
            name: service
            for name, service in cfg.services.items()
            if service.health_path
        }
        is_unchanged = (
            all(self._services.get(name) is item for name, item in probed.items())
            and len(probed) == len(self._services)
            and cfg.evacuated == self._evacuated
        )
        if is_unchanged:
            return
        self._services = probed
        self._evacuated = cfg.evacuated
        self._n_outranking = {
            name: self._n_outranking[name]
            if name in self._n_outranking
            else self._count_outranking(name, self._vms)
            for name in probed
        }
        self._update_targets(now)

    def set_vms(self, now: float, vms: Iterable[VmId]) -> None:
        """Set the VMs of the fleet."""
        known = frozenset(vms)
        joined, left = known - self._vms, self._vms - known
        if not joined and not left:
            return
        self._vms = known
        for name in self._n_outranking:
            self._n_outranking[name] += self._count_outranking(
                name, joined
            ) - self._count_outranking(name, left)
        self._update_targets(now)

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
        actions: tuple[Action, ...] = ()
        if reading.cold_s is not None:
            self._backends.record_cold(now, target, reading.cold_s)
            actions = self._backends.refresh_cold(now)
        self._report_health(now, target, reading)
        if reading.leaving is None:
            return actions
        return actions + self._backends.record_leaving(
            now, target, leaving=reading.leaving
        )

    def _report_health(
        self, now: float, target: tuple[ServiceId, ServerId], reading: ProbeReading
    ) -> None:
        health = self._backends.health
        if reading.load is not None:
            health.report_load(now, *target, reading.load)
            self._backends.dispatcher.report_load(now, *target, reading.load)
        if reading.late and self._backends.is_cold(now, target):
            return
        if reading.unreachable:
            health.report_probe(now, *target, Verdict.UNREACHABLE)
        elif reading.failed:
            health.report_probe(now, *target, Verdict.FAILURE)

    def _count_outranking(self, service: ServiceId, vms: Iterable[VmId]) -> int:
        """Return how many of ``vms`` rank before this VM for a service."""
        own = score(service, self._vm), self._vm
        return sum((score(service, vm), vm) > own for vm in vms if vm != self._vm)

    def _update_targets(self, now: float) -> None:
        self.scheduler.set_targets(
            now,
            {
                (name, server.id): service.health_path
                for name, service in self._services.items()
                if self._n_outranking[name] < N_MONITORS
                for server in service.servers
                if not (server.leaving or server.zone in self._evacuated)
            },
        )
