"""What the handlers of commands share."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from heapq import nsmallest
from itertools import islice
from typing import Any

import msgspec
from wagtailpaddle_config import Change, changed_object
from wagtailpaddle_core import ErrorKind, Offset, Registry

from wagtailpaddle_daemon.admin.bodies import read_page
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

N_NAMES_AT_ONCE = 2048
"""How many names are looked at before requests go on."""


@dataclass(frozen=True, slots=True)
class Context:
    """The daemon as handlers see it.

    ``now`` tells monotonic seconds; awaiting ``breathe`` between two parts of
    a long answer lets requests go on.
    """

    port: AdminPort
    committer: Committer
    acceptance: Acceptance
    fleet: FleetView
    metrics: Metrics
    now: Callable[[], float]
    breathe: Callable[[], Awaitable[None]]

    def revision_of(self, name: str) -> Offset:
        """Return the revision of an object, -1 if it never changed."""
        return self.port.node.fold.revision_of(name)

    async def change(
        self,
        command: Command,
        change: Change,
        *,
        exists: bool = True,
        status: int = 200,
        **facts: Any,
    ) -> Reply:
        """Carry out a change and return the answer to it.

        ``exists`` tells whether the object is there, for commands that ask
        for a new one.
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
        done = await self.committer.commit(command, change, expected=expected)
        value = {
            "record": done.record_id,
            "revision": done.offset,
            **msgspec.to_builtins(self.acceptance(done.offset)),
            **facts,
        }
        return Reply(value, status, revision=done.offset)


Handler = Callable[..., Awaitable[Reply]]
HANDLERS: Registry[Handler] = Registry("command")
"""By method and path, as in ``GET /v1/accounts/<name>``."""


async def one_page(
    context: Context,
    command: Command,
    names: Iterable[str],
    show: Callable[[Any], Any],
    label: str,
    *,
    keep: Callable[[Any], bool] = lambda name: True,
) -> Reply:
    """Return one page of a list in order of name.

    Only names that ``keep`` are listed, each once. ``names`` must not change
    meanwhile; requests go on between two parts of them.
    """
    after, limit = read_page(command)
    found: list[str] = []
    rest = iter(names)
    while part := list(islice(rest, N_NAMES_AT_ONCE)):
        found += [name for name in part if name > after and keep(name)]
        found = nsmallest(limit + 1, set(found))
        await context.breathe()
    more = found[limit - 1] if len(found) > limit else None
    return Reply({label: [show(name) for name in found[:limit]], "next": more})
