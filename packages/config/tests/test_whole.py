"""Configuration from one document, combined with registered servers."""

import pytest
from wagtailpaddle_config import (
    ClientAccount,
    ConfigDocument,
    Configuration,
    RegisteredServer,
    Route,
    Server,
    Service,
    SplitPart,
    build_configuration,
    check_documents,
    servers_by_service,
    with_servers,
)


def route(name, path, *, host="a.example"):
    return Route(id=name, service="booking", path=path, host=host)


def registered(name, port, *, service="booking", born=1):
    server = Server(id=name, address="10.0.0.1", port=port, zone="a")
    return RegisteredServer(service=service, server=server, born=born)


@pytest.fixture
def document():
    return ConfigDocument(
        version=3,
        accounts=(ClientAccount(id="kiosk", rate=1.0, burst=1.0),),
        routes=(
            route("whole", "/shop/"),
            route("part", "/shop/part/"),
            route("other", "/shop/part/", host="b.example"),
        ),
        services=(Service(id="booking"), Service(id="inventory")),
    )


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("a.example", "/shop/2f", "whole"),
        ("a.example", "/shop/part/2f", "part"),
        ("b.example", "/shop/part/2f", "other"),
        ("b.example", "/shop/2f", None),
        ("a.example", "/shop", None),
        ("a.example", "/shopping/2f", None),
    ],
)
def test_route_with_longest_matching_prefix_is_chosen(document, host, path, found):
    matched = build_configuration(document, 1).route_for(host, path, "GET")
    assert (matched.id if matched else None) == found


def test_reused_address_belongs_to_latest_registration():
    servers = servers_by_service(
        [
            registered("s1", 80, born=5),
            registered("s2", 80, born=9, service="inventory"),
            registered("s3", 81),
        ]
    )
    assert [server.id for server in servers["booking"]] == ["s3"]
    assert [server.id for server in servers["inventory"]] == ["s2"]


def test_unchanged_services_are_reused(document):
    unassigned = build_configuration(document, 1)
    servers = servers_by_service([registered("s1", 80)])
    first = with_servers(unassigned, servers, Configuration())
    second = with_servers(build_configuration(document, 2), servers, first)
    assert second.services["booking"] is first.services["booking"]
    assert second.revision == 2


@pytest.mark.parametrize(
    ("field", "value", "rule"),
    [
        ("max_attempts", 0, "must be at least 1"),
        ("priority", -1, "must not be below 0"),
        ("target_latency_s", -0.5, "must not be below 0"),
        ("split", [{"service": "booking", "weight": 0.0}], "must be above 0"),
        ("split", [{"service": "nowhere", "weight": 1.0}], "names no service"),
    ],
)
def test_invalid_route_fields_are_reported(field, value, rule):
    table = {"service": "booking", "path": "/shop", field: value}
    base = {"services": {"booking": {}}, "routes": {"shop": table}}
    assert any(rule in str(problem) for problem in check_documents(base))


def test_split_route_lists_its_services():
    parts = (SplitPart(service="a", weight=1.0), SplitPart(service="b", weight=2.0))
    split = Route(id="r", service="", path="/", split=parts)
    assert split.services() == ("a", "b")
