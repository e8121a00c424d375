"""What a VM of the platform loads before it starts.

Each module costs processor time at every start and memory on every VM, so those of
the other control side, and of pages that are rarely asked for, are not loaded.
"""

import subprocess
import sys

import pytest

SCRIPT = """
import sys
import wagtailpaddle_platform.__main__
from wagtailpaddle_daemon.loop import install

install()
from wagtailpaddle_platform import wiring

print(*sys.modules, sep="\\n")
"""

UNUSED = (
    "wagtailpaddle_config.appends",
    "wagtailpaddle_config.fold",
    "wagtailpaddle_config.snapshots",
    "wagtailpaddle_daemon.feed",
    "wagtailpaddle_daemon.logclient",
    "wagtailpaddle_daemon.metrics_page",
    "wagtailpaddle_fleet.membership",
    "wagtailpaddle_node.config_stream",
    "wagtailpaddle_node.control",
    "wagtailpaddle_node.node",
    "wagtailpaddle_once.manager",
    "wagtailpaddle_peer.records",
    "wagtailpaddle_quota.share_limiter",
    "prometheus_client",
)


@pytest.fixture(scope="module")
def loaded():
    """Return the modules that the platform's daemon has loaded when it is built."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    return set(done.stdout.split())


@pytest.mark.parametrize("module", UNUSED)
def test_module_that_the_platform_does_not_use_is_not_loaded(loaded, module):
    assert module not in loaded


def test_daemon_of_the_platform_is_loaded(loaded):
    assert "wagtailpaddle_daemon.replicaservice" in loaded
