"""The request pipeline, with a control plane whose state the test sets."""

from dataclasses import replace

import pytest
from wagtailpaddle_core import ErrorKind, RequestId
from wagtailpaddle_once import Run, RunOutcome
from wagtailpaddle_routing import AttemptOutcome, AttemptResult, Dispatch, Refuse

DONE = AttemptResult(AttemptOutcome.ANSWERED, 0.1, 200)


def kinds(actions):
    return [action.kind for action in actions if isinstance(action, Refuse)]


def test_request_is_dispatched_when_its_claim_is_granted(pipeline, control, head):
    assert pipeline.begin(1.0, head) == ()
    assert control.claims.begun == [head.id]
    (dispatch,) = pipeline.settle(1.1, (Run(head.id),))
    assert isinstance(dispatch, Dispatch)


def test_key_withdrawn_before_the_claim_is_granted_refuses_request(
    pipeline, control, head
):
    pipeline.begin(1.0, head)
    control.withdraw_key()
    assert pipeline.sweep(1.05) == ()
    actions = pipeline.settle(1.1, (Run(head.id),))
    assert kinds(actions) == [ErrorKind.KEY_UNKNOWN]
    assert control.claims.ended == [(head.id, RunOutcome.NOT_RUN)]


def test_vm_not_fresh_when_the_claim_is_granted_refuses_request(
    pipeline, control, head
):
    pipeline.begin(1.0, head)
    control.fresh = False
    assert kinds(pipeline.settle(1.1, (Run(head.id),))) == [ErrorKind.NOT_FRESH]
    assert control.claims.ended == [(head.id, RunOutcome.NOT_RUN)]


def test_caller_disconnect_before_the_claim_is_granted_refuses_request(
    pipeline, control, head
):
    pipeline.begin(1.0, head)
    continues, _ = pipeline.cancel(1.05, head.id)
    assert continues
    assert kinds(pipeline.settle(1.1, (Run(head.id),))) == [
        ErrorKind.IDEMPOTENCY_UNAVAILABLE
    ]


def test_draining_vm_refuses_requests(pipeline, head):
    pipeline.draining = True
    assert kinds(pipeline.begin(1.0, head)) == [ErrorKind.DRAINING]


@pytest.mark.parametrize(("timeout_s", "is_taken"), [(1.9, True), (2.1, False)])
def test_vm_that_stops_takes_no_request_that_may_outlast_it(
    pipeline, head, timeout_s, is_taken
):
    """The end of the grace period would cut the request without an answer."""
    pipeline.ends_at = 3.0
    late = replace(head, idempotency_key=None, timeout_s=timeout_s)
    (action,) = pipeline.begin(1.0, late)
    assert isinstance(action, Dispatch) == is_taken
    assert is_taken or action.kind is ErrorKind.DRAINING


def test_paused_vm_dispatches_no_waiting_request(pipeline, control, head):
    first = replace(head, id=RequestId("r0"), idempotency_key=None)
    pipeline.begin(1.0, first)
    pipeline.begin(1.0, replace(head, idempotency_key=None))
    control.fresh = False
    actions = pipeline.sweep(5.0) + pipeline.finish(5.0, first.id, DONE, None)
    assert kinds(actions) == [ErrorKind.NOT_FRESH]
    assert not any(isinstance(action, Dispatch) for action in actions)


def test_key_withdrawn_during_an_attempt_ends_its_retries(pipeline, control, head):
    pipeline.begin(1.0, replace(head, idempotency_key=None))
    control.withdraw_key()
    assert pipeline.sweep(1.1) == ()
    refused = AttemptResult(AttemptOutcome.NOT_SENT, 0.1)
    assert kinds(pipeline.finish(1.2, head.id, refused, None)) == [
        ErrorKind.KEY_UNKNOWN
    ]


@pytest.mark.parametrize(
    ("contained", "refused"),
    [({"hash"}, [ErrorKind.BAD_REQUEST]), ({"no key"}, []), (set(), [])],
)
def test_only_a_valid_key_in_a_request_refuses_it(pipeline, head, contained, refused):
    """Guards against the refusal of a word that merely looks like a key."""
    head = replace(head, key_candidates=frozenset(contained))
    assert kinds(pipeline.begin(1.0, head)) == refused


def test_ending_vm_stores_the_unknown_outcome_of_a_claimed_request(
    pipeline, control, head
):
    """Guards against a cut request whose repeat would find no outcome."""
    pipeline.begin(1.0, head)
    pipeline.settle(1.1, (Run(head.id),))
    assert pipeline.refuse_waiting(2.0) == ()
    assert kinds(pipeline.abandon_running(2.0)) == [ErrorKind.OUTCOME_UNKNOWN]
    assert control.claims.ended == [(head.id, RunOutcome.UNKNOWN)]
    assert pipeline.n_requests == 0


def test_ending_vm_refuses_a_request_that_waits_for_its_claim(pipeline, control, head):
    """Guards against a request that is cut without an answer before its claim."""
    pipeline.begin(1.0, head)
    assert kinds(pipeline.refuse_waiting(2.0)) == [ErrorKind.DRAINING]
    assert pipeline.settle(2.1, (Run(head.id),)) == ()
    assert control.claims.ended == [(head.id, RunOutcome.NOT_RUN)]
