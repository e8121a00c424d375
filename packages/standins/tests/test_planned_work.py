"""Planned work on the platform's daemons while requests are in flight."""

import signal
import threading
import time

import pytest
from wagtailpaddle_platform_standins.system import PlatformSystem

OK = 200
BUSY = 503
N_REFUSED = 2
N_AFTERWARDS = 6
IN_FLIGHT_AFTER_S = 0.3
"""How long after its start a request has surely reached a server."""


@pytest.fixture
def stopping():
    """Yield a system whose only daemon was told to stop and still serves."""
    with PlatformSystem(n_daemons=1, n_servers=2) as system:
        system.processes.signal("daemon-0", signal.SIGTERM)
        yield system


# A daemon answered 502 for a server that was at work, which counts as LOST in a stop.
@pytest.mark.parametrize(("method", "route"), [("GET", "read"), ("POST", "book")])
def test_copy_of_a_refusal_does_not_end_the_next_request_in_a_stop(
    stopping, method, route
):
    ids = [f"refused-{number}" for number in range(N_REFUSED)]
    paths = [f"/{route}/{name}/fault/platform-copied-refusal/0.0" for name in ids]
    ids += [f"next-{number}" for number in range(N_AFTERWARDS)]
    paths += [f"/{route}/{name}" for name in ids[N_REFUSED:]]
    answers = [
        stopping.request(0, method, path, request_id=name)
        for name, path in zip(ids, paths, strict=True)
    ]
    statuses = [answer.status for answer in answers]
    assert statuses == [BUSY] * N_REFUSED + [OK] * N_AFTERWARDS
    assert [answer.headers["x-request-id"] for answer in answers] == ids


# A SIGHUP or a repeated SIGTERM in a stop must not end the requests in flight.
@pytest.mark.parametrize("repeated", [signal.SIGHUP, signal.SIGTERM])
def test_signal_in_a_stop_cuts_no_request(stopping, repeated):
    answering = []
    caller = threading.Thread(
        target=lambda: answering.append(
            stopping.request(0, "POST", "/book/signal/fault/slow/1.0")
        )
    )
    caller.start()
    time.sleep(IN_FLIGHT_AFTER_S)
    stopping.processes.signal("daemon-0", repeated)
    caller.join()
    assert [answer.status for answer in answering] == [OK]
