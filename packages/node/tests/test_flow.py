"""The request pipeline, with a control plane whose state the test sets."""

from dataclasses import replace

from wagtailpaddle_core import ErrorKind, RequestId
from wagtailpaddle_once import Run, RunOutcome
from wagtailpaddle_routing import AttemptOutcome, AttemptResult, Dispatch, Refuse

DONE = AttemptResult(AttemptOutcome.ANSWERED, 0.1, 200)


def kinds(actions):
    return [action.kind for action in actions if isinstance(action, Refuse)]


def test_request_runs_when_its_claim_stands(flow, control, head):
    assert flow.begin(1.0, head) == ()
    assert control.claims.begun == [head.id]
    (dispatch,) = flow.settle(1.1, (Run(head.id),))
    assert isinstance(dispatch, Dispatch)


def test_key_withdrawn_while_the_claim_is_placed_runs_nothing(flow, control, head):
    flow.begin(1.0, head)
    control.withdraw_key()
    assert flow.sweep(1.05) == ()
    actions = flow.settle(1.1, (Run(head.id),))
    assert kinds(actions) == [ErrorKind.KEY_UNKNOWN]
    assert control.claims.ended == [(head.id, RunOutcome.NOT_RUN)]


def test_vm_no_longer_fresh_when_the_claim_stands_runs_nothing(flow, control, head):
    flow.begin(1.0, head)
    control.fresh = False
    assert kinds(flow.settle(1.1, (Run(head.id),))) == [ErrorKind.NOT_FRESH]
    assert control.claims.ended == [(head.id, RunOutcome.NOT_RUN)]


def test_caller_that_goes_away_before_dispatch_runs_nothing(flow, control, head):
    flow.begin(1.0, head)
    goes_on, _ = flow.cancel(1.05, head.id)
    assert goes_on
    assert kinds(flow.settle(1.1, (Run(head.id),))) == [
        ErrorKind.IDEMPOTENCY_UNAVAILABLE
    ]


def test_drained_vm_refuses_with_another_address(flow, head):
    flow.draining = True
    assert kinds(flow.begin(1.0, head)) == [ErrorKind.DRAINING]


def test_vm_that_was_paused_dispatches_nothing_that_waited(flow, control, head):
    first = replace(head, id=RequestId("r0"), idempotency_key=None)
    flow.begin(1.0, first)
    flow.begin(1.0, replace(head, idempotency_key=None))
    control.fresh = False
    actions = flow.sweep(5.0) + flow.finish(5.0, first.id, DONE, None)
    assert kinds(actions) == [ErrorKind.NOT_FRESH]
    assert not any(isinstance(action, Dispatch) for action in actions)


def test_key_withdrawn_during_an_attempt_ends_its_retries(flow, control, head):
    flow.begin(1.0, replace(head, idempotency_key=None))
    control.withdraw_key()
    assert flow.sweep(1.1) == ()
    refused = AttemptResult(AttemptOutcome.NOT_SENT, 0.1)
    assert kinds(flow.finish(1.2, head.id, refused, None)) == [ErrorKind.KEY_UNKNOWN]
