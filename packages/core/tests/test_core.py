import pytest
from wagtailpaddle_core import (
    ANSWERS,
    ErrorKind,
    InvariantError,
    Registry,
    ensure,
    rank,
)


def test_every_error_kind_has_an_answer():
    assert set(ANSWERS) == set(ErrorKind)


def test_registry_rejects_a_registered_name():
    registry = Registry("thing")
    registry.register("one")(1)
    with pytest.raises(ValueError, match="'one' is registered twice"):
        registry.register("one")(2)
    with pytest.raises(KeyError, match="known: one"):
        registry["two"]


def test_ensure_lists_the_values():
    with pytest.raises(InvariantError, match="n=3"):
        ensure(False, "n-small", n=3)


def test_rank_moves_only_names_of_the_replaced_member():
    members = [f"vm{index}" for index in range(36)]
    replaced = [*members[:-1], "vm-new"]
    names = [f"account{index}" for index in range(2000)]
    moved = sum(rank(n, members)[0] != rank(n, replaced)[0] for n in names)
    assert moved < 2000 * 3 / 36
