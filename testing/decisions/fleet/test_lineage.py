from __future__ import annotations

from _masticspoke.decisions.fleet.lineage import has_parent
from _masticspoke.decisions.fleet.lineage import organisation_of_parent
from _masticspoke.decisions.fleet.lineage import Origin
from _masticspoke.decisions.fleet.lineage import origin_of
from _masticspoke.decisions.fleet.lineage import Parents
from _masticspoke.decisions.fleet.lineage import rank_of_parent
from _masticspoke.decisions.fleet.lineage import record_nested_failure
from _masticspoke.decisions.fleet.lineage import record_run_end
from _masticspoke.decisions.fleet.lineage import record_run_start


def test_request_is_nested_only_while_its_parent_runs() -> None:
    parents = Parents()
    assert origin_of(parents, "a1.b2") is Origin.CLIENT
    record_run_start(parents, "a1", is_retry=False)
    assert origin_of(parents, "a1.b2") is Origin.RUN
    assert origin_of(parents, "a1") is Origin.CLIENT
    assert origin_of(parents, "c3.b2") is Origin.CLIENT
    record_run_end(parents, "a1")
    assert origin_of(parents, "a1.b2") is Origin.CLIENT


def test_parent_that_runs_twice_is_recorded_until_both_runs_end() -> None:
    parents = Parents()
    record_run_start(parents, "a1.b2", is_retry=False)
    record_run_start(parents, "a1.b2", is_retry=True)
    record_run_end(parents, "a1.b2")
    assert origin_of(parents, "a1.b2.c3") is Origin.RETRIED_RUN
    record_run_end(parents, "a1.b2")
    assert origin_of(parents, "a1.b2.c3") is Origin.CLIENT
    assert parents == Parents()


def test_nested_requests_of_a_retried_run_are_retries() -> None:
    parents = Parents()
    record_run_start(parents, "a1", is_retry=True)
    record_run_start(parents, "a2", is_retry=False)
    assert origin_of(parents, "a1.b") is Origin.RETRIED_RUN
    assert origin_of(parents, "a2.b") is Origin.RUN


def test_nested_failure_is_recorded_for_its_own_parent_only() -> None:
    parents = Parents()
    record_run_start(parents, "a1", is_retry=False)
    record_nested_failure(parents, "a1.b")
    record_nested_failure(parents, "a2.b")
    assert parents.with_failed_call == {"a1"}
    record_run_end(parents, "a1")
    assert parents == Parents()


def test_nested_request_has_the_organisation_of_its_parent_while_that_runs() -> None:
    parents = Parents()
    record_run_start(parents, "a1", is_retry=False, organisation="north")
    record_run_start(parents, "a2", is_retry=False)
    assert organisation_of_parent(parents, "a1.b") == "north"
    assert organisation_of_parent(parents, "a2.b") == ""
    assert organisation_of_parent(parents, "a1") == ""
    record_run_end(parents, "a1")
    assert organisation_of_parent(parents, "a1.b") == ""
    record_run_end(parents, "a2")
    assert parents == Parents()


def test_id_without_a_part_before_the_separator_names_no_parent() -> None:
    """A keyless request with such an id is a client's and gets 401."""
    assert has_parent("a1.b")
    assert not has_parent("a1")
    assert not has_parent(".b")
    assert not has_parent("")


def test_rank_of_a_run_is_inherited_until_its_end() -> None:
    """Nested requests of an urgent run waited behind those of others."""
    parents = Parents()
    record_run_start(parents, "r1", is_retry=False, rank=0)

    assert rank_of_parent(parents, "r1.1") == 0
    assert rank_of_parent(parents, "r2.1") is None
    record_run_end(parents, "r1")
    assert rank_of_parent(parents, "r1.1") is None
