"""Queue lengths by client account, with the longest in constant time."""

from wagtailpaddle_core import AccountId, ensure


class QueueLengths:
    """Queue lengths by client account; each change is by one.

    >>> lengths = QueueLengths()
    >>> lengths.increment("a")
    >>> lengths.longest()
    'a'
    """

    def __init__(self) -> None:
        self._length: dict[AccountId, int] = {}
        self._by_length: list[dict[AccountId, None]] = [{}]

    def __len__(self) -> int:
        return len(self._length)

    def of(self, account: AccountId) -> int:
        """Return the length of one queue."""
        return self._length.get(account, 0)

    def increment(self, account: AccountId) -> None:
        """Add one to the length of a queue."""
        self._set(account, self.of(account) + 1)

    def decrement(self, account: AccountId) -> None:
        """Subtract one from the length of a queue."""
        ensure(self.of(account) > 0, "queue-length-not-negative", account=account)
        self._set(account, self.of(account) - 1)

    def longest(self) -> AccountId:
        """Return an account with the longest queue.

        Raises ``LookupError`` if all queues are empty.
        """
        if len(self._by_length) == 1:
            raise LookupError("all queues are empty")
        return next(iter(self._by_length[-1]))

    def _set(self, account: AccountId, length: int) -> None:
        old_length = self._length.pop(account, 0)
        if old_length:
            del self._by_length[old_length][account]
        if length:
            self._length[account] = length
            if length == len(self._by_length):
                self._by_length.append({})
            self._by_length[length][account] = None
        while len(self._by_length) > 1 and not self._by_length[-1]:
            self._by_length.pop()
