"""In-memory backend servers with faults and counts of what they ran."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from wagtailpaddle_core import RequestId, ServerId
from wagtailpaddle_routing import AttemptOutcome

SERVICE_TIME_S = 0.02
SLOW_TIME_S = 2.0


@dataclass(frozen=True, slots=True)
class Ending:
    """The outcome of an attempt, which ends after ``delay_s``."""

    delay_s: float
    outcome: AttemptOutcome
    status: int = 0


class Servers:
    """All backend servers; ``modes`` maps each faulty server to its fault."""

    def __init__(self, random: Random):
        self._random = random
        self.modes: dict[ServerId, str] = {}
        self.runs: Counter[RequestId] = Counter()
        self.keyed_runs: Counter[tuple[str, str]] = Counter()

    def attempt(
        self, server: ServerId, request: RequestId, key: tuple[str, str] | None
    ) -> Ending | None:
        """Begin an attempt; None if the server never answers."""
        mode = self.modes.get(server, "")
        if mode == "down":
            return Ending(0.001, AttemptOutcome.NOT_SENT)
        if mode == "shed" and self._random.random() < 0.5:
            return Ending(0.002, AttemptOutcome.SHED, 503)
        self.runs[request] += 1
        if key is not None:
            self.keyed_runs[key] += 1
        if mode == "hang":
            return None
        if mode == "close" and self._random.random() < 0.5:
            return Ending(0.005, AttemptOutcome.FAILED)
        if mode == "gray" and self._random.random() < 0.3:
            return Ending(0.005, AttemptOutcome.ANSWERED, 500)
        scale = SLOW_TIME_S if mode == "slow" else SERVICE_TIME_S
        return Ending(
            scale * self._random.uniform(0.5, 1.5), AttemptOutcome.ANSWERED, 200
        )
