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


def run_and_store(network, vm="a1", key="k"):
    request = network.begin(vm, key)
    assert isinstance(network.results[request], Run)
    network.finish(vm, request, RunOutcome.ANSWERED, ANSWER)


def rejection_kind(network, request):
    return network.results[request].kind


def test_repeat_through_any_vm_gets_the_stored_answer(make_network):
    network = make_network(*VMS)
    run_and_store(network)
    for vm in VMS:
        assert network.results[network.begin(vm)] == Replay(
            f"r{network.n_requests}", ANSWER
        )


def test_repeat_during_the_run_is_in_progress(make_network):
    network = make_network(*VMS)
    network.begin("a1")
    assert rejection_kind(network, network.begin("b2")) is ErrorKind.IN_PROGRESS


def test_other_request_with_the_key_is_a_mismatch(make_network):
    network = make_network(*VMS)
    run_and_store(network)
    request = network.begin("c2", fingerprint="g")
    assert rejection_kind(network, request) is ErrorKind.IDEMPOTENCY_MISMATCH


def test_request_that_did_not_run_may_run_again(make_network):
    network = make_network(*VMS)
    request = network.begin("a1")
    network.finish("a1", request, RunOutcome.NOT_RUN)
    assert isinstance(network.results[network.begin("b1")], Run)


def test_unknown_outcome_stays_unknown(make_network):
    network = make_network(*VMS)
    request = network.begin("a1")
    network.finish("a1", request, RunOutcome.UNKNOWN)
    assert rejection_kind(network, network.begin("b1")) is ErrorKind.OUTCOME_UNKNOWN


def test_answer_too_large_to_store_is_unknown(make_network):
    network = make_network(*VMS, max_answer_bytes=3)
    run_and_store(network)
    assert rejection_kind(network, network.begin("b1")) is ErrorKind.OUTCOME_UNKNOWN


def test_without_a_majority_nothing_runs_and_the_claim_is_withdrawn(make_network):
    network = make_network("a1", "b1", "c1")
    network.down = {"b1", "c1"}
    request = network.begin("a1")
    network.tick(1.5)
    assert rejection_kind(network, request) is ErrorKind.IDEMPOTENCY_UNAVAILABLE
    network.down = set()
    network.tick()
    assert isinstance(network.results[network.begin("b1")], Run)


def test_majority_that_comes_after_the_deadline_does_not_run(make_network):
    network = make_network("a1", "b1", "c1")
    network.down = {"b1", "c1"}
    request = network.begin("a1", timeout_s=0.2)
    network.down = set()
    network.now = 0.3
    network.carry_out("a1", network.managers["a1"].tick(network.now))
    assert rejection_kind(network, request) is ErrorKind.IDEMPOTENCY_UNAVAILABLE


def test_full_store_rejects_new_claims_and_evicts_none(make_network):
    network = make_network("a1", "b1", "c1", max_bytes=1000)
    run_and_store(network, key="k1")
    run_and_store(network, key="k2")
    assert (
        rejection_kind(network, network.begin("b1", key="k3"))
        is ErrorKind.IDEMPOTENCY_BUSY
    )
    assert isinstance(network.results[network.begin("b1", key="k1")], Replay)


def test_outcomes_are_retained_for_their_ttl(make_network):
    network = make_network("a1", "b1", "c1", ttl_s=10.0)
    run_and_store(network)
    network.tick(9.5, step=0.5)
    assert isinstance(network.results[network.begin("b1")], Replay)
    network.tick(1.0)
    assert isinstance(network.results[network.begin("b1")], Run)


def test_claim_of_a_lost_coordinator_becomes_unknown(make_network):
    network = make_network(*VMS)
    network.begin("a2")
    network.down = {"a2"}
    network.change_roster(*(vm for vm in VMS if vm != "a2"), gone=("a2",))
    network.tick(1.5)
    request = network.begin("b1")
    network.tick(1.5)
    assert rejection_kind(network, request) is ErrorKind.OUTCOME_UNKNOWN


def test_claims_survive_the_replacement_of_every_vm(make_network):
    network = make_network(*VMS)
    keys = [f"k{number}" for number in range(20)]
    for key in keys:
        run_and_store(network, key=key)
    current = list(VMS)
    for number, old in enumerate(VMS):
        network.carry_out(old, network.managers[old].release(network.now))
        network.tick(1.0)
        assert network.managers[old].released
        current.remove(old)
        network.change_roster(*current, gone=(old,))
        network.down.add(old)
        current.append(f"{old[0]}{number + 3}")
        network.change_roster(*current, gone=(old,))
        network.tick(1.0)
    for key in keys:
        assert isinstance(network.results[network.begin(current[0], key)], Replay)


def test_new_replica_does_not_vote_before_it_is_synced(make_network):
    network = make_network("a1", "b1", "c1")
    run_and_store(network)
    network.down = {"a1", "b1"}
    network.change_roster("c1", "a2", "b2", gone=("a1", "b1"))
    network.tick(1.0)
    place = Place(1, ClaimKey(AccountId("kiosk"), "k"), "f", AttemptId("x", 1))
    for vm in ("a2", "b2"):
        assert (
            network.managers[vm].on_message(network.now, "x", place).vote
            is Vote.NOT_SYNCED
        )
    request = network.begin("a2")
    network.tick(1.5)
    assert not isinstance(network.results[request], Run)


def test_gone_replicas_count_as_synced_after_the_claim_ttl(make_network):
    network = make_network("a1", "b1", "c1", ttl_s=5.0)
    network.down = {"a1", "b1"}
    network.change_roster("c1", "a2", "b2", gone=("a1", "b1"))
    network.tick(6.0)
    assert isinstance(network.results[network.begin("a2")], Run)


def test_place_under_an_older_roster_is_refused(make_network):
    network = make_network("a1", "b1", "c1")
    network.change_roster("a2", "b1", "c1", gone=("a1",))
    place = Place(0, ClaimKey(AccountId("kiosk"), "k"), "f", AttemptId("a1", 1))
    assert network.managers["b1"].on_message(0.0, "a1", place).vote is Vote.REVISION


def test_late_place_after_the_withdrawal_is_resolved(make_network):
    network = make_network("a1", "b1", "c1")
    request = network.begin("a1")
    network.finish("a1", request, RunOutcome.NOT_RUN)
    place = Place(0, ClaimKey(AccountId("kiosk"), "k"), "f", AttemptId("a1", 1))
    for vm in ("b1", "c1"):
        network.managers[vm].on_message(network.now, "a1", place)
    assert rejection_kind(network, network.begin("a1")) is ErrorKind.IN_PROGRESS
    network.tick(6.0)
    assert isinstance(network.results[network.begin("a1")], Run)
