"""Conversion of an attempt's outcome to counts."""

from wagtailpaddle_health.messages import Observation, Verdict
from wagtailpaddle_health.window import Counts


def attempt_counts(observation: Observation, limit_s: float) -> Counts:
    """Return the counts that an attempt adds to its server's evidence.

    An attempt that takes longer than ``limit_s`` seconds is slow. The end of an
    attempt that was already reported as overdue is not counted as a second
    attempt.
    """
    verdict = observation.verdict
    if verdict is Verdict.OVERDUE:
        return Counts(1, 0, 0, 1)
    is_new = not observation.overdue
    may_be_slow = is_new and not observation.cold
    is_slow = may_be_slow and observation.latency_s > limit_s
    is_unsent = verdict is Verdict.UNREACHABLE
    is_failure = verdict is not Verdict.SUCCESS
    return Counts(int(is_new), int(is_failure), int(is_unsent), int(is_slow))
