import json
from urllib.parse import quote

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

EXPECTED_STATUSES = {200, 201, 400, 401, 404, 405, 409, 413}
SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
NAMES = st.sampled_from(
    ["rate", "burst", "active", "id", "path", "service", "servers", "accounts"]
) | st.text(max_size=5)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=4)
    ),
    max_leaves=12,
)
DOCUMENTS = st.dictionaries(
    st.sampled_from(["accounts", "routes", "services"]) | st.text(max_size=3),
    VALUES | st.dictionaries(NAMES, st.dictionaries(NAMES, VALUES, max_size=4)),
    max_size=3,
)
PATHS = st.sampled_from(
    [
        ("PUT", "/v1/base"),
        ("PUT", "/v1/overlays/namur"),
        ("PUT", "/v1/accounts/dumont"),
        ("PUT", "/v1/accounts/new"),
        ("PUT", "/v1/routes/new"),
        ("POST", "/v1/accounts/dumont/keys"),
        ("POST", "/v1/accounts/dumont/cancel"),
    ]
)


def check(answer):
    assert answer.status in EXPECTED_STATUSES, answer.body
    if answer.status >= 400:
        assert json.loads(answer.body)["status"] == answer.status


@SETTINGS
@given(path=PATHS, body=st.binary(max_size=60))
def test_any_bytes_get_an_expected_status(published, path, body):
    check(published.send(*path, body))


@SETTINGS
@given(path=PATHS, body=DOCUMENTS | VALUES)
def test_any_json_gets_an_expected_status_and_no_partial_change(
    published, port, path, body
):
    before = port.node.configuration.accounts
    answer = published.send(*path, json.dumps(body).encode())
    check(answer)
    if answer.status >= 400:
        assert port.node.configuration.accounts == before


@SETTINGS
@given(name=st.text(min_size=1, max_size=20), query=st.text(max_size=20))
def test_any_name_and_query_get_an_expected_status(published, name, query):
    for section in ("accounts", "routes", "keys", "services", "overlays", "metrics"):
        check(published.send("GET", f"/v1/{section}/{quote(name, safe='')}"))
    check(published.send("GET", f"/v1/accounts?after={quote(query)}&limit=3"))
    check(published.send("PUT", f"/v1/accounts/{quote(name, safe='')}", b"{}"))


@SETTINGS
@given(value=st.text(max_size=30))
def test_any_header_gets_an_expected_status(published, value):
    text = quote(value, safe='"*;,=-_ ')
    for name in ("If_Match", "If_None_Match", "Idempotency_Key"):
        body = b'{"rate": 1, "burst": 1}'
        check(published.send("PUT", "/v1/accounts/x", body, **{name: text}))
