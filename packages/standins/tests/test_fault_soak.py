"""A short seeded run of the fault soak, and the seeds that ever broke a promise."""

from wagtailpaddle_platform_standins.faultsoak.runs import run

SHORT_SEED = 1


def test_promises_hold_in_a_short_run_of_faults():
    assert run(SHORT_SEED, n_steps=8, n_daemons=3) == []
