"""Client of the platform's list of running and leaving VMs."""

from typing import Any

import msgspec
from wagtailpaddle_core import ZoneId
from wagtailpaddle_fleet import ListedVm

from wagtailpaddle_daemon.fetch import Fetcher

READ_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 4 << 20


class VmListError(Exception):
    """The list of VMs was not available or could not be parsed."""


class VmListClient:
    """Reads ``{"vms": [{"peer_address", "zone", "leaving"}, ...]}`` from a URL."""

    def __init__(self, reactor: Any, url: str):
        self._url = url
        self._fetcher = Fetcher(reactor, timeout_s=READ_TIMEOUT_S)

    async def read(self) -> tuple[ListedVm, ...]:
        """Return the listed VMs. Raises ``VmListError``."""
        try:
            response = await self._fetcher.get(self._url)
        except Exception as exc:
            raise VmListError(f"list of VMs: {exc!r}") from exc
        n_bytes = len(response.body)
        if response.status != 200 or n_bytes > MAX_LIST_BYTES:
            raise VmListError(
                f"list of VMs answered {response.status}, {n_bytes} bytes"
            )
        return decode_list(response.body)


def decode_list(body: bytes) -> tuple[ListedVm, ...]:
    """Return the VMs in a response body. Raises ``VmListError``."""
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
