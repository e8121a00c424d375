"""Context, registry and list pages shared by the command handlers."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from heapq import nsmallest
from itertools import islice
from typing import Any

import msgspec
from wagtailpaddle_config import Change, changed_object
from wagtailpaddle_core import ErrorKind, Offset, Registry

from wagtailpaddle_daemon.admin.bodies import parse_page_query
from wagtailpaddle_daemon.admin.commit import Committer
from wagtailpaddle_daemon.admin.errors import AdminError
from wagtailpaddle_daemon.admin.ports import (
    Acceptance,
    AdminPort,
    Command,
    FleetView,
    Reply,
)
from wagtailpaddle_daemon.metrics import Metrics

SCAN_BATCH_NAMES = 2048
"""How many names a list scans before it yields to the reactor."""


@dataclass(frozen=True, slots=True)
class Context:
    """The parts of the daemon that command handlers use.

    ``now`` returns monotonic seconds. Handlers await ``yield_to_reactor`` between the
    parts of a long response so that the reactor can process other requests.
    """

    port: AdminPort
    committer: Committer
    acceptance: Acceptance
    fleet: FleetView
    metrics: Metrics
    now: Callable[[], float]
    yield_to_reactor: Callable[[], Awaitable[None]]

    def revision_of(self, name: str) -> Offset:
        """Return the revision of an object, or -1 if it never changed."""
        return self.port.node.fold.revision_of(name)

    async def change(
        self,
        command: Command,
        change: Change,
        *,
        exists: bool = True,
        status: int = 200,
        **members: Any,
    ) -> Reply:
        """Commit a change and return the reply to it.

        ``exists`` states whether the object already exists; it is checked for
        commands that must create a new object.
        """
        name = changed_object(change)
        expected = command.expected
        if command.must_be_new:
            expected = self.revision_of(name)
            is_repeat = command.record_id and self.port.node.fold.result_of(
                command.record_id
            )
            if exists and not is_repeat:
                detail = f"{name} exists already"
                raise AdminError(ErrorKind.CONFLICT, detail, current=expected)
        committed = await self.committer.commit(command, change, expected=expected)
        value = {
            "record": committed.record_id,
            "revision": committed.offset,
            **msgspec.to_builtins(self.acceptance(committed.offset)),
            **members,
        }
        return Reply(value, status, revision=committed.offset)


Handler = Callable[..., Awaitable[Reply]]
HANDLERS: Registry[Handler] = Registry("command")
"""Command handlers by method and path, as in ``GET /v1/accounts/<name>``."""


async def list_page(
    context: Context,
    command: Command,
    names: Iterable[str],
    show: Callable[[Any], Any],
    label: str,
    *,
    is_listed: Callable[[Any], bool] = lambda name: True,
) -> Reply:
    """Return one page of a list, sorted by name.

    Only names for which ``is_listed`` returns true are listed, each once. The scan
    yields to the reactor between batches; ``names`` must not change meanwhile.
    """
    after, limit = parse_page_query(command)
    found: list[str] = []
    rest = iter(names)
    while batch := list(islice(rest, SCAN_BATCH_NAMES)):
        found += [name for name in batch if name > after and is_listed(name)]
        found = nsmallest(limit + 1, set(found))
        await context.yield_to_reactor()
    next_after = found[limit - 1] if len(found) > limit else None
    return Reply({label: [show(name) for name in found[:limit]], "next": next_after})
