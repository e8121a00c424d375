"""The tokens of one client account in one share, and what is lent of them."""

from wagtailpaddle_core import VmId, ensure

LOAN_TERM_S = 1.0
"""Borrowed tokens lapse this long after the question that brought them."""

LENDER_TERM_S = 1.05
"""How long the lender keeps room for a loan: the term and clock drift."""

TOKEN_TOLERANCE = 1e-6


class _Loan:
    __slots__ = ("amount", "expires_at", "sequence")

    def __init__(self, amount: float, until: float, sequence: int) -> None:
        self.amount = amount
        self.expires_at = until
        self.sequence = sequence


class LendingBucket:
    """A token bucket whose lent tokens still take up room.

    Tokens at hand and tokens lent together never pass ``burst``, so however
    they travel, all VMs together never hold more than the account's burst.
    A loan takes up room until the borrower reports it spent or given back, or
    until it has lapsed on the borrower's clock too.

    >>> bucket = LendingBucket(rate=1.0, burst=4.0, tokens=4.0, now=0.0)
    >>> bucket.lend(0.0, "b", sequence=1, held=0.0, returned=0.0, wanted=3.0)
    3.0
    >>> bucket.tokens(1.0), round(bucket.tokens(2.05), 6)
    (1.0, 2.0)
    """

    def __init__(self, *, rate: float, burst: float, tokens: float, now: float):
        self.rate = rate
        self.burst = burst
        self._tokens = min(tokens, burst)
        self._filled_at = now
        self._loans: dict[VmId, _Loan] = {}

    def tokens(self, now: float) -> float:
        """Return the tokens at hand at ``now``."""
        self._refill(now)
        return self._tokens

    def lent(self, now: float) -> float:
        """Return the room that loans take up at ``now``."""
        self._refill(now)
        return sum(loan.amount for loan in self._loans.values())

    def idle(self, now: float) -> bool:
        """Return whether the bucket is full and nothing is lent."""
        self._refill(now)
        return not self._loans and self._tokens >= self.burst - TOKEN_TOLERANCE

    def acquire(self, now: float) -> bool:
        """Take one token, or none and return False."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the seconds until one token is at hand, at best."""
        self._refill(now)
        if self.burst < 1.0 or self.rate <= 0.0:
            return float("inf")
        return max(0.0, 1.0 - self._tokens) / self.rate

    def set_limit(self, now: float, rate: float, burst: float, since: float) -> None:
        """Change rate and burst; the new ones count from ``since``."""
        if (rate, burst) == (self.rate, self.burst):
            return
        self._refill(min(now, since))
        self.rate = rate
        self.burst = burst
        self._tokens = min(self._tokens, max(0.0, self._unlent_capacity()))
        self._refill(now)

    def lend(
        self,
        now: float,
        borrower: VmId,
        *,
        sequence: int,
        held: float,
        returned: float,
        wanted: float,
        reserve: float = 0.0,
    ) -> float | None:
        """Settle the loan of ``borrower`` and return the tokens granted to it.

        ``held`` is what the borrower still has, ``returned`` what it gives
        back; the rest of what was lent is spent or lost. ``reserve`` tokens
        stay here. Returns None, and leaves all as it is, for a message older
        than one already seen or with held tokens that have no room here.
        """
        self._refill(now)
        loan = self._loans.get(borrower) or _Loan(0.0, now, -1)
        if sequence <= loan.sequence or held > loan.amount + TOKEN_TOLERANCE:
            return None
        self._loans[borrower] = loan
        refunded = min(returned, max(0.0, loan.amount - held))
        loan.amount = held
        self._tokens = min(self._tokens + refunded, max(0.0, self._unlent_capacity()))
        granted = float(max(0, int(min(wanted, self._tokens - reserve))))
        self._tokens -= granted
        loan.amount += granted
        loan.sequence = sequence
        loan.expires_at = now + LENDER_TERM_S
        self._check()
        return granted

    def has_loan(self, now: float, borrower: VmId) -> bool:
        """Return whether ``borrower`` has a loan that takes up room."""
        self._refill(now)
        return borrower in self._loans

    def restore(self, now: float, tokens: float, lent: float) -> None:
        """Start from the state of the former holder.

        Its borrowers do not renew here, so their room lapses with the loans.
        """
        if lent > 0.0:
            self._loans[VmId("")] = _Loan(lent, now + LENDER_TERM_S, 0)
        self._tokens = max(0.0, min(tokens, self._unlent_capacity()))
        self._filled_at = now

    def _unlent_capacity(self) -> float:
        return self.burst - sum(loan.amount for loan in self._loans.values())

    def _refill(self, now: float) -> None:
        """Add the tokens since the last call, loan by loan as they lapse."""
        while self._loans:
            borrower = min(self._loans, key=lambda vm: (self._loans[vm].expires_at, vm))
            expires_at = self._loans[borrower].expires_at
            if expires_at > now:
                break
            self._fill(expires_at)
            del self._loans[borrower]
        self._fill(now)
        self._check()

    def _fill(self, now: float) -> None:
        elapsed = now - self._filled_at
        if elapsed <= 0.0:
            return
        capacity = max(0.0, self._unlent_capacity())
        self._tokens = min(capacity, self._tokens + elapsed * self.rate)
        self._filled_at = now

    def _check(self) -> None:
        capacity = max(0.0, self._unlent_capacity())
        ensure(
            -TOKEN_TOLERANCE <= self._tokens <= capacity + TOKEN_TOLERANCE,
            "tokens-and-loans-within-burst",
            tokens=self._tokens,
            room=capacity,
        )
