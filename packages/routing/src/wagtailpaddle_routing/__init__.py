"""Choice of backend server, fair queues, concurrency limits, retries."""

from wagtailpaddle_routing.choose import CHOOSERS, Candidate
from wagtailpaddle_routing.dispatcher import Dispatcher
from wagtailpaddle_routing.messages import (
    Action,
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    Deliver,
    Dispatch,
    Job,
    Refuse,
    ServerView,
)

__all__ = [
    "CHOOSERS",
    "Action",
    "AttemptOutcome",
    "AttemptResult",
    "CancelAttempt",
    "Candidate",
    "Deliver",
    "Dispatch",
    "Dispatcher",
    "Job",
    "Refuse",
    "ServerView",
]
