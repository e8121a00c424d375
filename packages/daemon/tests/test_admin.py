import gzip

import pytest
from wagtailpaddle_config import hash_secret, resolve

LIMITS = {"rate": 5, "burst": 9}
ROUTE = {"path": "/deliveries", "service": "booking", "methods": ["POST"]}


def kind(answer):
    assert answer.headers["content-type"] == "application/problem+json"
    assert answer.json()["status"] == answer.status
    return answer.json()["type"].rpartition(":")[2]


def test_account_is_created_changed_cancelled_and_restored(published):
    created = published.send("PUT", "/v1/accounts/x", LIMITS)
    assert created.status == 200
    assert created.json()["state"] == "in-force"
    published.send("PUT", "/v1/accounts/x", {"rate": 7})
    shown = published.send("GET", "/v1/accounts/x").json()
    assert (shown["rate"], shown["burst"], shown["active"]) == (7.0, 9.0, True)
    published.send("POST", "/v1/accounts/x/cancel")
    assert not published.send("GET", "/v1/accounts/x").json()["active"]
    published.send("POST", "/v1/accounts/x/restore")
    assert published.send("GET", "/v1/accounts/x").json()["active"]


def test_lists_are_paginated(published):
    for name in ("a", "b", "c"):
        published.send("PUT", f"/v1/accounts/{name}", LIMITS)
    first = published.send("GET", "/v1/accounts?limit=2").json()
    assert [item["id"] for item in first["accounts"]] == ["a", "b"]
    rest = published.send("GET", f"/v1/accounts?limit=2&after={first['next']}").json()
    assert [item["id"] for item in rest["accounts"]] == ["c", "dumont"]
    assert rest["next"] is None
    assert kind(published.send("GET", "/v1/accounts?limit=0")) == "bad-request"


def test_stale_revision_is_a_conflict_that_names_the_winner(published):
    published.send("PUT", "/v1/accounts/x", LIMITS)
    tag = published.send("GET", "/v1/accounts/x").headers["etag"]
    published.send("PUT", "/v1/accounts/x", {"rate": 6}, If_Match=tag)
    stale = published.send("PUT", "/v1/accounts/x", {"rate": 7}, If_Match=tag)
    assert (stale.status, kind(stale)) == (409, "conflict")
    assert stale.json()["changed_by"] == "anna"
    assert stale.json()["current"] > int(tag.strip('"'))
    assert published.send("GET", "/v1/accounts/x").json()["rate"] == 6.0


def test_if_none_match_creates_only_new_objects(published):
    body = LIMITS
    one = published.send("PUT", "/v1/accounts/x", body, If_None_Match="*")
    two = published.send("PUT", "/v1/accounts/x", body, If_None_Match="*")
    based = published.send("PUT", "/v1/accounts/dumont", body, If_None_Match="*")
    assert (one.status, two.status, based.status) == (200, 409, 409)


def test_routes_are_put_shown_and_removed(published):
    assert published.send("PUT", "/v1/routes/book", ROUTE).status == 200
    assert published.send("GET", "/v1/routes/book").json()["service"] == "booking"
    assert published.send("DELETE", "/v1/routes/book").status == 200
    assert kind(published.send("GET", "/v1/routes/book")) == "not-found"


def test_secret_is_shown_once_and_hashes_never(published):
    issued = published.send("POST", "/v1/accounts/dumont/keys")
    assert issued.status == 201
    secret = issued.json()["secret"]
    listed = published.send("GET", "/v1/accounts/dumont/keys")
    assert [key["id"] for key in listed.json()["keys"]] == [issued.json()["key"]]
    assert secret not in listed.body.decode()
    assert hash_secret(secret) not in listed.body.decode()
    withdrawn = published.send("DELETE", f"/v1/keys/{issued.json()['key']}")
    assert withdrawn.status == 200
    shown = published.send("GET", f"/v1/keys/{issued.json()['key']}").json()
    assert shown["withdrawn"]


def test_issue_with_secret_hash_returns_no_secret(published, port):
    digest = hash_secret("wp_made-by-the-operator")
    body = {"secret_hash": digest}
    issued = published.send(
        "POST", "/v1/accounts/dumont/keys", body, Idempotency_Key="record-0001"
    )
    assert issued.status == 201
    assert "secret" not in issued.json()
    assert port.node.configuration.account_for(digest).id == "dumont"


def test_repeatable_issue_without_hash_is_refused(published):
    answer = published.send(
        "POST", "/v1/accounts/dumont/keys", Idempotency_Key="record-0001"
    )
    assert kind(answer) == "bad-request"


def test_lost_append_is_looked_up_and_not_repeated(published, log):
    n_records = len(log.records)
    log.lost = 1
    answer = published.send("PUT", "/v1/accounts/x", LIMITS)
    assert answer.status == 200
    assert len(log.records) == n_records + 1


def test_dropped_append_is_retried_with_the_same_id(published, log):
    n_records = len(log.records)
    log.dropped = 1
    answer = published.send("PUT", "/v1/accounts/x", LIMITS)
    assert answer.status == 200
    assert len(log.records) == n_records + 1


def test_unreadable_log_after_a_lost_append_leaves_the_outcome_unknown(published, log):
    log.lost = 1
    log.is_down = True
    answer = published.send(
        "PUT", "/v1/accounts/x", LIMITS, Idempotency_Key="record-0001"
    )
    assert (answer.status, kind(answer)) == (502, "outcome-unknown")
    assert answer.headers["x-outcome"] == "unknown"
    assert answer.json()["record"] == "record-0001"
    log.is_down = False
    found = published.send("GET", "/v1/records/record-0001")
    assert found.json()["state"] == "in-force"
    n_appends = log.n_appends
    again = published.send(
        "PUT", "/v1/accounts/x", LIMITS, Idempotency_Key="record-0001"
    )
    assert again.json()["revision"] == found.json()["revision"]
    assert log.n_appends == n_appends


def test_unreachable_log_means_not_run(published, log):
    log.refused = 1
    answer = published.send("PUT", "/v1/accounts/x", LIMITS)
    assert (answer.status, kind(answer)) == (503, "log-unavailable")
    assert answer.headers["x-outcome"] == "not-run"


def test_unknown_record_is_not_found_only_if_the_log_answers(published, log):
    assert kind(published.send("GET", "/v1/records/record-0009")) == "not-found"
    log.is_down = True
    assert kind(published.send("GET", "/v1/records/record-0009")) == "log-unavailable"


def test_invalid_base_is_refused_before_the_append_with_all_problems(published, log):
    n_appends = log.n_appends
    document = {"accounts": {"x": {"rate": -1, "burst": 0}}, "rutes": {}}
    answer = published.send("PUT", "/v1/base", document)
    assert kind(answer) == "bad-request"
    assert any("rutes" in item["path"] for item in answer.json()["problems"])
    assert log.n_appends == n_appends


def test_invalid_account_reports_its_fields(published):
    answer = published.send("PUT", "/v1/accounts/x", {"rate": -1, "burst": 0})
    paths = [problem["path"] for problem in answer.json()["problems"]]
    assert paths == ["accounts.x.rate", "accounts.x.burst"]


def test_configuration_shows_origins_of_values(published):
    published.send("PUT", "/v1/overlays/namur", {"accounts": {"dumont": {"rate": 2}}})
    published.send("PUT", "/v1/accounts/dumont", {"burst": 7})
    path = "/v1/configuration/accounts"
    found = published.send("GET", path).json()
    table = {"rate": 2, "burst": 7}
    assert found["objects"] == [{"name": "dumont", "table": table}]
    assert found["origins"]["accounts.dumont.rate"] == "overlay:namur"
    assert found["origins"]["accounts.dumont.burst"].startswith("operator@")
    assert published.send("GET", "/v1/overlays").json() == {"sites": ["namur"]}
    elsewhere = published.send("GET", path + "?site=lund").json()
    assert elsewhere["objects"][0]["table"]["rate"] == 50.0


@pytest.mark.parametrize("site", ["namur", "lund"])
def test_pages_of_the_configuration_add_up_to_the_merged_document(
    published, port, site
):
    published.send("PUT", "/v1/overlays/namur", {"accounts": {"y": LIMITS}})
    published.send("PUT", "/v1/accounts/y", {"burst": 7})
    published.send("PUT", "/v1/accounts/x", LIMITS)
    published.send("PUT", "/v1/routes/book", ROUTE)
    whole = resolve(port.node.fold.layers.documents(site))
    document, origins = {}, {}
    for section in ("accounts", "routes", "services"):
        after = ""
        while after is not None:
            query = f"site={site}&limit=1&after={after}"
            page = published.send("GET", f"/v1/configuration/{section}?{query}").json()
            for item in page["objects"]:
                document.setdefault(section, {})[item["name"]] = item["table"]
            origins.update(page["origins"])
            after = page["next"]
    assert document == whole.document
    assert origins == whole.origins


def test_status_fleet_services_and_metrics_are_shown(published, metrics):
    metrics.record_request(0.0, "dumont", "catalogue", 0.02, None)
    assert published.send("GET", "/v1/status").json()["n_accounts"] == 1
    assert published.send("GET", "/v1/fleet").json()["vms"][0]["state"] == "serving"
    services = published.send("GET", "/v1/services").json()["services"]
    assert services[0]["servers"][0]["id"] == "b1"
    accounts = published.send("GET", "/v1/metrics/accounts").json()["accounts"]
    assert accounts[0]["latency"]["n"] == 1
    page = published.send("GET", "/metrics")
    assert page.headers["content-type"].startswith("text/plain")
    assert b'wagtailpaddle_account_latency_seconds_count{account="dumont"}' in page.body


def test_page_is_compressed_for_clients_that_accept_it(published):
    plain = published.send("GET", "/metrics").body
    compressed = published.send("GET", "/metrics", Accept_Encoding="gzip")
    assert compressed.headers["content-encoding"] == "gzip"
    assert gzip.decompress(compressed.body) == plain


@pytest.mark.parametrize("path", ["/v1/status", "/metrics", "/v1/accounts"])
def test_requests_without_an_operators_token_are_refused(
    unauthenticated, published, port, path
):
    secret = published.send("POST", "/v1/accounts/dumont/keys").json()["secret"]
    answer = unauthenticated.send("GET", path)
    assert (answer.status, kind(answer)) == (401, "key-missing")
    with_key = unauthenticated.send("GET", path, Authorization=f"Bearer {secret}")
    assert (with_key.status, kind(with_key)) == (401, "key-unknown")


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"null", b"\xff", b"[" * 4000])
def test_body_that_is_not_an_object_is_refused(published, body):
    answer = published.send("PUT", "/v1/accounts/x", body)
    assert (answer.status, kind(answer)) == (400, "bad-request")


def test_body_over_the_limit_is_refused(published):
    answer = published.send("PUT", "/v1/base", b"x" * 5001)
    assert (answer.status, kind(answer)) == (413, "body-too-large")


def test_chunked_body_over_the_limit_is_refused(published):
    chunk = b"%x\r\n%s\r\n" % (3000, b"x" * 3000)
    head = (
        b"PUT /v1/base HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer operator-token"
        b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    answer = published.send_raw("PUT", head + 2 * chunk + b"0\r\n\r\n")
    assert answer.status == 413


def test_unknown_command_is_a_problem_document(published):
    assert published.send("GET", "/v2/x").status == 404
    assert published.send("PATCH", "/v1/base").status == 405


@pytest.mark.parametrize(
    "headers",
    [{"If_Match": "7"}, {"If_None_Match": '"7"'}, {"Idempotency_Key": "short"}],
)
def test_malformed_header_is_refused(published, headers):
    answer = published.send("PUT", "/v1/accounts/x", {"rate": 1, "burst": 1}, **headers)
    assert kind(answer) == "bad-request"
