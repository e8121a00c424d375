import json

import pytest
from wagtailpaddle_daemon.logs import LogThrottle, get_logger, setup_logs


@pytest.fixture
def restored_logs():
    yield
    setup_logs()


def test_line_starts_with_its_part(restored_logs, capsys):
    setup_logs(format="json", level="info")
    get_logger("admin").info("Changed.", operator="anna")
    get_logger("admin").debug("Hidden.")
    line = json.loads(capsys.readouterr().err)
    assert line["event"] == "admin: Changed."
    assert line["operator"] == "anna"


def test_throttle_suppresses_and_counts():
    throttle = LogThrottle(interval_s=10.0)
    results = [throttle.permit(now, "read") for now in (0.0, 1.0, 9.0, 10.0, 11.0)]
    assert results == [0, None, None, 2, None]
    assert throttle.permit(11.0, "append") == 0
    assert throttle.reset("read") == 1
    assert throttle.permit(12.0, "read") == 0
