from __future__ import annotations

from _masticspoke.decisions.fleet.lineage import nested_failed
from _masticspoke.decisions.fleet.lineage import Origin
from _masticspoke.decisions.fleet.lineage import origin_of
from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.lineage import run_began
from _masticspoke.decisions.fleet.lineage import run_ended


def test_request_is_nested_only_while_its_parent_runs() -> None:
    parents = Parents()
    assert origin_of(parents, "a1.b2") is Origin.CLIENT
    run_began(parents, "a1", repeat=False)
    assert origin_of(parents, "a1.b2") is Origin.RUN
    assert origin_of(parents, "a1") is Origin.CLIENT
    assert origin_of(parents, "c3.b2") is Origin.CLIENT
    run_ended(parents, "a1")
    assert origin_of(parents, "a1.b2") is Origin.CLIENT


def test_parent_that_runs_twice_is_known_until_both_end() -> None:
    parents = Parents()
    run_began(parents, "a1.b2", repeat=False)
    run_began(parents, "a1.b2", repeat=True)
    run_ended(parents, "a1.b2")
    assert origin_of(parents, "a1.b2.c3") is Origin.REPEATED_RUN
    run_ended(parents, "a1.b2")
    assert origin_of(parents, "a1.b2.c3") is Origin.CLIENT
    assert parents == Parents()


def test_calls_of_a_repeated_run_are_told_from_those_of_a_first_one() -> None:
    parents = Parents()
    run_began(parents, "a1", repeat=True)
    run_began(parents, "a2", repeat=False)
    assert origin_of(parents, "a1.b") is Origin.REPEATED_RUN
    assert origin_of(parents, "a2.b") is Origin.RUN


def test_run_is_let_down_by_its_own_nested_calls_only() -> None:
    parents = Parents()
    run_began(parents, "a1", repeat=False)
    nested_failed(parents, "a1.b")
    nested_failed(parents, "a2.b")
    assert parents.let_down == {"a1"}
    run_ended(parents, "a1")
    assert parents == Parents()
