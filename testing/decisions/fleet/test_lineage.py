from __future__ import annotations

from _masticspoke.decisions.fleet.lineage import is_nested
from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.lineage import run_began
from _masticspoke.decisions.fleet.lineage import run_ended


def test_request_is_nested_only_while_its_parent_runs() -> None:
    parents = Parents()
    assert not is_nested(parents, "a1.b2")
    run_began(parents, "a1")
    assert is_nested(parents, "a1.b2")
    assert not is_nested(parents, "a1")
    assert not is_nested(parents, "c3.b2")
    run_ended(parents, "a1")
    assert not is_nested(parents, "a1.b2")


def test_parent_that_runs_twice_is_known_until_both_end() -> None:
    parents = Parents()
    run_began(parents, "a1.b2")
    run_began(parents, "a1.b2")
    run_ended(parents, "a1.b2")
    assert is_nested(parents, "a1.b2.c3")
    run_ended(parents, "a1.b2")
    assert not is_nested(parents, "a1.b2.c3")
    assert parents.runs == {}
