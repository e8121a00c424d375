"""The available and lent tokens of one client account in one share."""

from wagtailpaddle_core import VmId, ensure

LOAN_TERM_S = 1.0
"""Borrowed tokens expire this long after the request that obtained them was sent."""

LENDER_TERM_S = 1.05
"""How long the lender reserves capacity for a loan: the term plus clock drift."""

TOKEN_TOLERANCE = 1e-6


class _Loan:
    __slots__ = ("amount", "expires_at", "sequence")

    def __init__(self, amount: float, expires_at: float, sequence: int) -> None:
        self.amount = amount
        self.expires_at = expires_at
        self.sequence = sequence


class LendingBucket:
    """A token bucket whose lent tokens still occupy capacity.

    Available and lent tokens together never exceed ``burst``. All VMs together
    therefore never hold more than the account's burst, no matter which of them borrow.
    A loan occupies capacity until the borrower reports it spent or returned, or
    until it has expired on the borrower's clock too.

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
        """Return the tokens available at ``now``."""
        self._refill(now)
        return self._tokens

    def lent(self, now: float) -> float:
        """Return the capacity that loans occupy at ``now``."""
        self._refill(now)
        return sum(loan.amount for loan in self._loans.values())

    def idle(self, now: float) -> bool:
        """Return whether the bucket is full and nothing is lent."""
        self._refill(now)
        return not self._loans and self._tokens >= self.burst - TOKEN_TOLERANCE

    def acquire(self, now: float) -> bool:
        """Debit one token; return False if none is available."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the least number of seconds until one token is available."""
        self._refill(now)
        if self.burst < 1.0 or self.rate <= 0.0:
            return float("inf")
        return max(0.0, 1.0 - self._tokens) / self.rate

    def set_limit(self, now: float, rate: float, burst: float, since: float) -> None:
        """Change rate and burst with effect from ``since``."""
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
        """Update the loan of ``borrower`` and return the tokens granted to it.

        ``held`` tokens remain with the borrower and ``returned`` ones come back;
        the rest of the loan is spent or lost. ``reserve`` tokens are not lent.
        Returns None and leaves the loan unchanged if a later message was already
        received, or if ``held`` exceeds the capacity reserved for the borrower.
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
        """Return whether ``borrower`` has a loan that occupies capacity."""
        self._refill(now)
        return borrower in self._loans

    def restore(self, now: float, tokens: float, lent: float) -> None:
        """Restore the state handed over by the previous holder.

        Its borrowers do not renew their loans here, so the capacity that they
        occupy is freed when the loans expire.
        """
        if lent > 0.0:
            self._loans[VmId("")] = _Loan(lent, now + LENDER_TERM_S, 0)
        self._tokens = max(0.0, min(tokens, self._unlent_capacity()))
        self._filled_at = now

    def _unlent_capacity(self) -> float:
        return self.burst - sum(loan.amount for loan in self._loans.values())

    def _refill(self, now: float) -> None:
        """Add the tokens since the last call, removing loans in order of expiry."""
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
