"""Fuzz tests of parsers of external input: they raise only their documented errors."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wagtailpaddle_core import WagtailError
from wagtailpaddle_daemon.headers import bearer_key, end_to_end, without_key
from wagtailpaddle_daemon.lifecycle import Lifecycle
from wagtailpaddle_daemon.request_parsing import (
    Target,
    parse_idempotency_key,
    parse_timeout,
)
from wagtailpaddle_daemon.secrets import KeyFilter
from wagtailpaddle_daemon.vmlist import VmListError, decode_list
from wagtailpaddle_routing import interpret, is_leaving, parse_load

BOUNDED = settings(derandomize=True, deadline=None, max_examples=200)
SECRET = b"wp_" + b"aB3-_xY9" * 5 + b"qrs"
HEADERS = st.lists(st.tuples(st.binary(max_size=12), st.binary(max_size=60)))


@BOUNDED
@given(st.binary(max_size=80))
def test_any_header_value_is_parsed_or_refused(value):
    bearer_key(value)
    for parse in (parse_idempotency_key, parse_timeout):
        with suppress(WagtailError):
            parse(value)


@BOUNDED
@given(st.binary(max_size=40), st.binary(max_size=40))
def test_key_is_found_within_any_bytes(before, after):
    keys = KeyFilter(SECRET)
    data = before + SECRET + after
    assert keys.matches(data)
    assert SECRET in keys.find_candidates(b"/p?a=" + data + b"&b=2")
    assert SECRET in KeyFilter(None).find_candidates(data + b" " + SECRET)
    kept = list(without_key([(b"X-A", data), (b"Cookie", data)], keys))
    assert not any(keys.matches(value) for _, value in kept)


@BOUNDED
@given(HEADERS)
def test_any_response_headers_are_parsed(headers):
    list(end_to_end(headers))
    table = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in headers
    }
    load = parse_load(table)
    assert load is None or 0.0 <= load <= 1.0
    interpret(503, table)
    is_leaving(table)


@BOUNDED
@given(st.binary(max_size=100))
def test_any_vm_list_is_parsed_or_refused(body):
    with suppress(VmListError):
        decode_list(body)


def test_vm_list_is_parsed():
    body = b'{"vms": [{"peer_address": "10.0.0.1:7000", "leaving": true}]}'
    assert decode_list(body)[0].leaving
    with pytest.raises(VmListError):
        decode_list(b'{"vms": [{"leaving": true}]}')


def test_lifecycle_of_a_graceful_stop():
    lifecycle = Lifecycle()
    lifecycle.started()
    lifecycle.leave()
    lifecycle.leave()
    lifecycle.drain()
    lifecycle.stopped()
    assert lifecycle.state == "stopped"


@pytest.mark.parametrize(
    "host, name",
    [
        (b"Shop.example:8080", "shop.example"),
        (b"shop.example", "shop.example"),
        (b"[::1]:8080", "[::1]"),
        (b"[::1]", "[::1]"),
        (b"", ""),
    ],
)
def test_host_name_has_no_port(host, name):
    assert Target(host, b"/").host_name == name
