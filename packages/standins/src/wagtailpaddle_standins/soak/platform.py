"""An in-memory platform: the log's streams and the list of VMs."""

from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import Offset
from wagtailpaddle_fleet import ListedVm, Vm
from wagtailpaddle_node import RawLogRecord

from wagtailpaddle_standins.fakes.world import FakeLog

STREAMS = ("config", "shares")
READ_LIMIT = 200


class LogDownError(Exception):
    """The log does not answer, or its answer was lost."""


@dataclass(frozen=True, slots=True)
class Read:
    """The result of a log read."""

    first: Offset
    head: Offset
    records: tuple[RawLogRecord, ...]


class Platform:
    """The external services that all VMs share.

    ``is_up`` and ``list_is_up`` tell whether the log and the list of VMs
    answer. ``lost`` is the fraction of appends whose answer is lost.
    """

    __slots__ = ("is_up", "list_is_up", "listed", "lost", "random", "streams")

    def __init__(self, random: Random) -> None:
        self.random = random
        self.streams: dict[str, FakeLog] = {name: FakeLog() for name in STREAMS}
        self.is_up: bool = True
        self.list_is_up: bool = True
        self.lost: float = 0.0
        self.listed: dict[str, ListedVm] = {}

    def read(self, stream: str, start: Offset) -> Read:
        """Return records from ``start`` on. Raises ``LogDownError`` if it is down."""
        if not self.is_up:
            raise LogDownError
        log = self.streams[stream]
        begin = max(start, log.first)
        found = log.read(begin, READ_LIMIT)
        records = tuple(RawLogRecord(offset, data) for offset, data in found)
        return Read(log.first, log.head, records)

    def append(self, stream: str, data: bytes) -> Offset:
        """Append a record.

        Raises ``LogDownError`` if the log is down, or if the record was appended
        and the answer was lost.
        """
        if not self.is_up:
            raise LogDownError
        offset = self.streams[stream].append(data)
        if self.random.random() < self.lost:
            raise LogDownError
        return offset

    def list_vm(self, vm: Vm, *, leaving: bool = False) -> None:
        """Add a VM to the list or update its entry."""
        entry = ListedVm(vm.peer_address, vm.zone, leaving)
        self.listed[vm.peer_address] = entry

    def unlist(self, vm: Vm) -> None:
        """Remove a VM from the list."""
        self.listed.pop(vm.peer_address, None)
