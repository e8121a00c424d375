"""Fuzz test: any file content gives one of the documented exit statuses."""

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from wagtailpaddle_cli.exitstatus import ExitStatus
from wagtailpaddle_cli.main import main

PROPERTY_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
LINES = st.lists(
    st.sampled_from(
        [
            b"[accounts.x]",
            b"[services.s.servers]",
            b"[routes.r]",
            b"rate = 1.0",
            b"rate = nan",
            b"burst = 1",
            b'path = "/x"',
            b"floor = 1e400",
            b'a = { address = "127.0.0.1", port = 70000 }',
            b"at = 1979-05-27T07:32:00Z",
        ]
    )
    | st.binary(max_size=20),
    max_size=6,
).map(b"\n".join)


@pytest.fixture
def check_content(tmp_path):
    path = tmp_path / "base.toml"

    def check(data):
        path.write_bytes(data)
        return main(["config", "check", str(path)])

    return check


@PROPERTY_SETTINGS
@given(data=LINES)
def test_any_file_content_gives_a_documented_exit_status(check_content, data):
    assert check_content(data) in (ExitStatus.OK, ExitStatus.REFUSED)
