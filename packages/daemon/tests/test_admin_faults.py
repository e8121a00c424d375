from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from wagtailpaddle_config import Applied
from wagtailpaddle_peer import decode_config_record

FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["lost", "dropped", "refused", "late", "fine"]),
        st.integers(1, 3),
        st.booleans(),
    ),
    min_size=1,
    max_size=12,
)


def clear_faults(log):
    log.is_down = False
    log.lost = log.dropped = log.refused = log.late = 0
    log.apply_delayed()


@settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(steps=FAULTS)
def test_responses_to_changes_match_the_log_under_any_fault(
    published, log, port, steps
):
    responses = {}
    for index, (fault, times, is_down) in enumerate(steps):
        clear_faults(log)
        if fault != "fine":
            setattr(log, fault, times)
        log.is_down = is_down
        record_id = f"record-{len(log.records)}-{index}"
        body = {"rate": index + 1, "burst": 9}
        responses[record_id] = published.send(
            "PUT", f"/v1/accounts/a{index}", body, Idempotency_Key=record_id
        )
    clear_faults(log)
    published.send("GET", "/v1/records/record-none")
    written = [decode_config_record(data).id for data in log.records]
    for record_id, answer in responses.items():
        result = port.node.fold.result_of(record_id)
        if answer.status == 200:
            assert isinstance(result, Applied)
            assert result.offset == answer.json()["revision"]
        elif answer.headers["x-outcome"] == "not-run":
            assert record_id not in written
        else:
            assert answer.status == 502
            found = published.send("GET", f"/v1/records/{record_id}")
            assert (found.status == 200) == (record_id in written)
