"""Client of the platform's list of live and leaving VMs."""

from typing import Any

import msgspec
import treq
from twisted.web.client import Agent, HTTPConnectionPool
from wagtailpaddle_core import ZoneId
from wagtailpaddle_fleet import ListedVm

READ_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 4 << 20


class VmListError(Exception):
    """The list did not answer, or answered with something else than a list."""


class VmListClient:
    """Reads ``{"vms": [{"peer_address", "zone", "leaving"}, ...]}`` from a URL."""

    def __init__(self, reactor: Any, url: str):
        self._url = url
        pool = HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        self._http = treq.client.HTTPClient(Agent(reactor, pool=pool))

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the listed VMs. Raises ``VmListError``."""
        try:
            answer = await self._http.get(self._url, timeout=READ_TIMEOUT_S)
            body = await answer.content()
        except Exception as exc:
            raise VmListError(f"list of VMs: {exc!r}") from exc
        if answer.code != 200 or len(body) > MAX_LIST_BYTES:
            raise VmListError(f"list of VMs answered {answer.code}, {len(body)} bytes")
        return decode_list(body)


def decode_list(body: bytes) -> tuple[ListedVm, ...]:
    """Return the VMs that a body lists. Raises ``VmListError``."""
    try:
        table = msgspec.json.decode(body, type=dict[str, Any])
        entries = msgspec.convert(table["vms"], list[dict[str, Any]])
        return tuple(
            ListedVm(
                peer_address=msgspec.convert(entry["peer_address"], str),
                zone=ZoneId(msgspec.convert(entry.get("zone", ""), str)),
                leaving=msgspec.convert(entry.get("leaving", False), bool),
            )
            for entry in entries
        )
    except (msgspec.MsgspecError, KeyError) as exc:
        raise VmListError(f"list of VMs: {exc!r}") from None
