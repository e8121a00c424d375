"""One incarnation of a daemon and its requests in a run."""

from wagtailpaddle_core import AccountId, RequestId
from wagtailpaddle_node import Node, RequestHead

from wagtailpaddle_standins.fakes.fabric import Process


class Exchange:
    """A request in flight at one node."""

    __slots__ = ("account", "attempt", "head")

    def __init__(self, head: RequestHead, account: AccountId, attempt: int = 0) -> None:
        self.head = head
        self.account = account
        self.attempt = attempt


class Host:
    """One incarnation of a daemon with its requests in flight."""

    __slots__ = ("exchanges", "node", "process", "stopping")

    def __init__(self, process: Process, node: Node) -> None:
        self.process = process
        self.node = node
        self.exchanges: dict[RequestId, Exchange] = {}
        self.stopping: bool = False
