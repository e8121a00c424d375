"""Request counts of client accounts, and latency estimates, of one service."""

from wagtailpaddle_core import AccountId, ensure

MEAN_SMOOTHING = 0.3
MIN_LATENCY_SAMPLES = 8
MIN_ATTEMPT_TIMEOUT_S = 1.0
INITIAL_ATTEMPT_TIMEOUT_S = 2.0
ATTEMPT_TIMEOUT_DEVIATIONS = 8.0
MIN_SILENCE_TIMEOUT_S = 0.1
INITIAL_SILENCE_TIMEOUT_S = 0.5
SILENCE_TIMEOUT_DEVIATIONS = 4.0


class Account:
    """Request counts of one client account; ``mean_s`` is its mean service time."""

    __slots__ = ("mean_s", "n_pending", "n_running")

    def __init__(self, mean_s: float) -> None:
        self.mean_s = mean_s
        self.n_pending: int = 0
        self.n_running: int = 0


class Accounts:
    """The client accounts that have pending requests on this VM."""

    def __init__(self) -> None:
        self._accounts: dict[AccountId, Account] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def __getitem__(self, name: AccountId) -> Account:
        return self._accounts[name]

    def add_request(self, name: AccountId, mean_s: float) -> Account:
        """Count a new request; a new account starts with the estimate ``mean_s``."""
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account(mean_s)
        account.n_pending += 1
        return account

    def remove_request(self, name: AccountId) -> bool:
        """Remove one request; return whether it was the last of the account."""
        account = self._accounts[name]
        account.n_pending -= 1
        if account.n_pending:
            return False
        ensure(account.n_running == 0, "idle-account-runs-nothing", account=name)
        del self._accounts[name]
        return True

    def record_service_time(self, name: AccountId, used_s: float) -> None:
        """Update the account's mean service time with that of one request."""
        account = self._accounts[name]
        if account.mean_s:
            account.mean_s += MEAN_SMOOTHING * (used_s - account.mean_s)
        else:
            account.mean_s = used_s


class LatencyEstimator:
    """Smoothed mean and mean deviation of latency, in seconds."""

    def __init__(self) -> None:
        self.n_samples = 0
        self.mean_s = 0.0
        self.deviation_s = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there are enough samples for an estimate."""
        return self.n_samples >= MIN_LATENCY_SAMPLES

    @property
    def silence_timeout_s(self) -> float:
        """Seconds without an answer after which a server with work is avoided."""
        if not self.is_known:
            return INITIAL_SILENCE_TIMEOUT_S
        usual_s = self.mean_s + SILENCE_TIMEOUT_DEVIATIONS * self.deviation_s
        return max(MIN_SILENCE_TIMEOUT_S, usual_s)

    @property
    def attempt_timeout_s(self) -> float:
        """Seconds after which an unanswered attempt is taken for a hang."""
        if not self.is_known:
            return INITIAL_ATTEMPT_TIMEOUT_S
        usual_s = self.mean_s + ATTEMPT_TIMEOUT_DEVIATIONS * self.deviation_s
        return max(MIN_ATTEMPT_TIMEOUT_S, usual_s)

    def add(self, latency_s: float) -> None:
        """Add one sample, with the weights of RFC 6298."""
        self.n_samples += 1
        if self.n_samples == 1:
            self.mean_s = latency_s
            self.deviation_s = latency_s / 2
            return
        error_s = latency_s - self.mean_s
        self.mean_s += error_s / 8
        self.deviation_s += (abs(error_s) - self.deviation_s) / 4
