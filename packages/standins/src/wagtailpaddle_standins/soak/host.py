"""One incarnation of a daemon in a run."""

from dataclasses import dataclass, field

from wagtailpaddle_core import AccountId, RequestId
from wagtailpaddle_node import Node, RequestHead

from wagtailpaddle_standins.fakes.fabric import Process


@dataclass(slots=True)
class Exchange:
    """A request at one node."""

    head: RequestHead
    account: AccountId
    attempt: int = 0


@dataclass(slots=True)
class Host:
    """One incarnation of a daemon with its requests in flight."""

    process: Process
    node: Node
    exchanges: dict[RequestId, Exchange] = field(default_factory=dict)
    stopping: bool = False
