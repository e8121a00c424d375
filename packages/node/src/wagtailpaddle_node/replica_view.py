"""A VM's view of the fleet, for operators."""

from typing import Any

from wagtailpaddle_replica import Collection, upstreams

from wagtailpaddle_node.replica_control import ReplicaControl


def describe(control: ReplicaControl, now: float) -> dict[str, Any]:
    """Return the VM's view of the fleet, with its age in seconds."""
    replica = control.replica
    ages = {
        item.value: round(replica.age_s(now, item), 3)
        for item in Collection
        if replica.copies[item].is_known
    }
    alive = replica.members.alive(now)
    return {
        "vm": replica.own.id,
        "configuration": control.document.version if control.document else None,
        "fresh": control.membership.is_fresh(now),
        "age_s": ages,
        "servers": {
            name: [
                {"id": server.id, "leaving": server.leaving}
                for server in service.servers
            ]
            for name, service in sorted(control.configuration.services.items())
        },
        "evacuated": _evacuated(control, now),
        **_statements(control, now),
        "alive": [member.id for member in alive],
        "carriers": sorted(control.active),
        "follows": [item.id for item in upstreams(replica.own, alive)],
        "keepers": list(control.quota.owners),
    }


def _evacuated(control: ReplicaControl, now: float) -> dict[str, dict[str, float]]:
    """Return the evacuated zones with this VM's requests that still run there."""
    services = control.backends.dispatcher.status(now)
    return {
        item.zone: {
            "in_effect_s": round(item.in_effect_s, 3),
            "running": item.n_running,
        }
        for item in control.copied_configuration.evacuations.status(now, services)
    }


def _statements(control: ReplicaControl, now: float) -> dict[str, dict[str, float]]:
    """Return what servers stated of themselves, by server.

    ``limits`` are the requests per second that they take, ``rests`` the seconds for
    which this VM still leaves them alone, ``cold`` the seconds for which they still
    warm up.
    """
    servers = [
        server
        for service in control.backends.dispatcher.status(now)
        for server in service.servers
    ]
    return {
        "limits": {
            server.id: server.stated_limit
            for server in servers
            if server.stated_limit is not None
        },
        "rests": {
            server.id: round(server.rest_s, 3)
            for server in servers
            if server.rest_s > 0.0
        },
        "cold": {
            server.id: round(server.cold_s, 3)
            for server in servers
            if server.cold_s > 0.0
        },
    }
