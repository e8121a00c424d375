"""Short seeded runs of the fault soak, and the seeds that ever broke a promise."""

import pytest
from wagtailpaddle_platform_standins.faultsoak.runs import run

MIXED_SEED = 1
COPIES_SEED = 29
"""Servers copy their refusals while daemons are stopped and reloaded (issue 58)."""


@pytest.mark.parametrize("seed", [MIXED_SEED, COPIES_SEED])
def test_promises_hold_in_a_short_run_of_faults(seed):
    assert run(seed, n_steps=8, n_daemons=3) == []
