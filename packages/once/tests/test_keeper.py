from wagtailpaddle_core import AccountId, ErrorKind
from wagtailpaddle_once import (
    AttemptId,
    ClaimKey,
    Place,
    Replay,
    Run,
    RunOutcome,
    StoredAnswer,
    Vote,
)

ANSWER = StoredAnswer(201, (("location", "/1"),), b"booked")
VMS = ("a1", "b1", "c1", "a2", "b2", "c2")


def run_and_store(net, vm="a1", key="k"):
    request = net.begin(vm, key)
    assert isinstance(net.ends[request], Run)
    net.finish(vm, request, RunOutcome.ANSWERED, ANSWER)


def kind(net, request):
    return net.ends[request].kind


def test_repeat_through_any_vm_gets_the_stored_answer(make_net):
    net = make_net(*VMS)
    run_and_store(net)
    for vm in VMS:
        assert net.ends[net.begin(vm)] == Replay(f"r{net.n_requests}", ANSWER)


def test_repeat_during_the_run_is_in_progress(make_net):
    net = make_net(*VMS)
    net.begin("a1")
    assert kind(net, net.begin("b2")) is ErrorKind.IN_PROGRESS


def test_other_request_with_the_key_is_a_mismatch(make_net):
    net = make_net(*VMS)
    run_and_store(net)
    request = net.begin("c2", fingerprint="g")
    assert kind(net, request) is ErrorKind.IDEMPOTENCY_MISMATCH


def test_request_that_did_not_run_may_run_again(make_net):
    net = make_net(*VMS)
    request = net.begin("a1")
    net.finish("a1", request, RunOutcome.NOT_RUN)
    assert isinstance(net.ends[net.begin("b1")], Run)


def test_unknown_outcome_stays_unknown(make_net):
    net = make_net(*VMS)
    request = net.begin("a1")
    net.finish("a1", request, RunOutcome.UNKNOWN)
    assert kind(net, net.begin("b1")) is ErrorKind.OUTCOME_UNKNOWN


def test_answer_too_large_to_keep_is_unknown(make_net):
    net = make_net(*VMS, max_answer_bytes=3)
    run_and_store(net)
    assert kind(net, net.begin("b1")) is ErrorKind.OUTCOME_UNKNOWN


def test_without_a_majority_nothing_runs_and_the_claim_is_withdrawn(make_net):
    net = make_net("a1", "b1", "c1")
    net.down = {"b1", "c1"}
    request = net.begin("a1")
    net.tick(1.5)
    assert kind(net, request) is ErrorKind.IDEMPOTENCY_UNAVAILABLE
    net.down = set()
    net.tick()
    assert isinstance(net.ends[net.begin("b1")], Run)


def test_majority_that_comes_after_the_deadline_does_not_run(make_net):
    net = make_net("a1", "b1", "c1")
    net.down = {"b1", "c1"}
    request = net.begin("a1", timeout_s=0.2)
    net.down = set()
    net.now = 0.3
    net.act("a1", net.keepers["a1"].tick(net.now))
    assert kind(net, request) is ErrorKind.IDEMPOTENCY_UNAVAILABLE


def test_full_memory_refuses_and_forgets_nothing(make_net):
    net = make_net("a1", "b1", "c1", max_bytes=1000)
    run_and_store(net, key="k1")
    run_and_store(net, key="k2")
    assert kind(net, net.begin("b1", key="k3")) is ErrorKind.IDEMPOTENCY_BUSY
    assert isinstance(net.ends[net.begin("b1", key="k1")], Replay)


def test_outcomes_are_kept_for_the_stated_time(make_net):
    net = make_net("a1", "b1", "c1", ttl_s=10.0)
    run_and_store(net)
    net.tick(9.5, step=0.5)
    assert isinstance(net.ends[net.begin("b1")], Replay)
    net.tick(1.0)
    assert isinstance(net.ends[net.begin("b1")], Run)


def test_claim_of_a_lost_coordinator_becomes_unknown(make_net):
    net = make_net(*VMS)
    net.begin("a2")
    net.down = {"a2"}
    net.move_on(*(vm for vm in VMS if vm != "a2"), gone=("a2",))
    net.tick(1.5)
    request = net.begin("b1")
    net.tick(1.5)
    assert kind(net, request) is ErrorKind.OUTCOME_UNKNOWN


def test_claims_survive_the_replacement_of_every_vm(make_net):
    net = make_net(*VMS)
    keys = [f"k{number}" for number in range(20)]
    for key in keys:
        run_and_store(net, key=key)
    present = list(VMS)
    for number, old in enumerate(VMS):
        net.act(old, net.keepers[old].release(net.now))
        net.tick(1.0)
        assert net.keepers[old].released
        present.remove(old)
        net.move_on(*present, gone=(old,))
        net.down.add(old)
        present.append(f"{old[0]}{number + 3}")
        net.move_on(*present, gone=(old,))
        net.tick(1.0)
    for key in keys:
        assert isinstance(net.ends[net.begin(present[0], key)], Replay)


def test_new_replica_does_not_vote_before_it_synced(make_net):
    net = make_net("a1", "b1", "c1")
    run_and_store(net)
    net.down = {"a1", "b1"}
    net.move_on("c1", "a2", "b2", gone=("a1", "b1"))
    net.tick(1.0)
    place = Place(1, ClaimKey(AccountId("kiosk"), "k"), "f", AttemptId("x", 1))
    for vm in ("a2", "b2"):
        assert net.keepers[vm].on_message(net.now, "x", place).vote is Vote.NOT_SYNCED
    request = net.begin("a2")
    net.tick(1.5)
    assert not isinstance(net.ends[request], Run)


def test_gone_replicas_count_after_the_life_of_a_claim(make_net):
    net = make_net("a1", "b1", "c1", ttl_s=5.0)
    net.down = {"a1", "b1"}
    net.move_on("c1", "a2", "b2", gone=("a1", "b1"))
    net.tick(6.0)
    assert isinstance(net.ends[net.begin("a2")], Run)


def test_older_roster_is_refused(make_net):
    net = make_net("a1", "b1", "c1")
    net.move_on("a2", "b1", "c1", gone=("a1",))
    place = Place(0, ClaimKey(AccountId("kiosk"), "k"), "f", AttemptId("a1", 1))
    assert net.keepers["b1"].on_message(0.0, "a1", place).vote is Vote.REVISION


def test_late_place_after_the_withdrawal_is_resolved(make_net):
    net = make_net("a1", "b1", "c1")
    request = net.begin("a1")
    net.finish("a1", request, RunOutcome.NOT_RUN)
    place = Place(0, ClaimKey(AccountId("kiosk"), "k"), "f", AttemptId("a1", 1))
    for vm in ("b1", "c1"):
        net.keepers[vm].on_message(net.now, "a1", place)
    assert kind(net, net.begin("a1")) is ErrorKind.IN_PROGRESS
    net.tick(6.0)
    assert isinstance(net.ends[net.begin("a1")], Run)
