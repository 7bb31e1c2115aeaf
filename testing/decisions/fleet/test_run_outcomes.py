from __future__ import annotations

import pytest
from bench.chains.table import NORMAL_FACTOR
from bench.chains.table import play
from bench.chains.table import play_ranks
from bench.chains.table import recovery_s
from bench.chains.table import STALL_SLOWDOWN
from testing.decisions.fleet.samples import job

from _masticspoke.decisions.fleet.run_outcomes import admits
from _masticspoke.decisions.fleet.run_outcomes import LIMIT_TTL_S
from _masticspoke.decisions.fleet.run_outcomes import MAX_ROUTES
from _masticspoke.decisions.fleet.run_outcomes import record_admitted
from _masticspoke.decisions.fleet.run_outcomes import record_end
from _masticspoke.decisions.fleet.run_outcomes import record_pressure
from _masticspoke.decisions.fleet.run_outcomes import RouteOutcomes
from _masticspoke.decisions.fleet.run_outcomes import RunOutcome
from _masticspoke.decisions.fleet.run_outcomes import RunOutcomes

LOADED_S = 0.05


def outcomes_after(
    outcome: RunOutcome, pressure_s: float, runs: int = 40, route: str = "read"
) -> RunOutcomes:
    """Return the outcomes of runs that end one after the other, ten at a time."""
    outcomes = RunOutcomes()
    for ticket in range(runs):
        now = ticket * 0.05
        record_pressure(outcomes, pressure_s, now)
        entering = job(ticket, route=route, deadline=now + 1.0)
        record_admitted(outcomes, ticket, entering, now)
        if ticket >= 10:
            record_end(outcomes, ticket - 10, outcome, 0.5, now)
    return outcomes


# Guards against heads that begin runs whose calls the last service has no room for.
@pytest.mark.parametrize("factor", [1.0, 1.5, 2.0, 5.0])
def test_head_of_an_overloaded_chain_completes_what_it_begins(factor: float) -> None:
    figures = play("outcome", factor, counted_s=5.0)

    assert figures.goodput >= 0.95
    assert figures.wasted <= 0.03


# Guards against a limit on chains that have room.
def test_chain_below_its_capacity_serves_nearly_all() -> None:
    figures = play("outcome", 0.8, counted_s=5.0)

    assert figures.goodput >= 0.97
    assert figures.wasted <= 0.01


# Guards against limits that hold requests back long after a surge. The requests that
# were refused at its end are retried within 1.05 s.
def test_limits_hold_no_requests_back_after_a_surge() -> None:
    assert recovery_s("outcome") <= 2.0


# Guards against a less urgent route that takes the room of a more urgent one, and
# against one that gets none.
def test_least_urgent_route_is_reduced_first_and_keeps_a_part() -> None:
    urgent, other = play_ranks("outcome", 2.0)

    assert urgent >= 0.9
    assert 0.01 <= other <= 0.6


# Guards against limits that rise slowly after a called service nearly stood still.
def test_limits_rise_soon_after_a_stall() -> None:
    assert recovery_s("outcome", NORMAL_FACTOR, STALL_SLOWDOWN) <= 3.0


def test_single_wasted_run_sets_no_limit() -> None:
    outcomes = outcomes_after(RunOutcome.WASTED, LOADED_S, runs=11)

    assert outcomes.routes["read"].limit is None


def test_route_without_wasted_runs_has_no_limit() -> None:
    outcomes = outcomes_after(RunOutcome.SUCCEEDED, LOADED_S)

    assert outcomes.routes["read"].limit is None
    assert all(admits(outcomes, job(n, deadline=9.0), 2.0) for n in range(100))


def test_failed_runs_without_pressure_set_no_limit() -> None:
    outcomes = outcomes_after(RunOutcome.WASTED, pressure_s=0.0)

    assert outcomes.routes["read"].limit is None


def test_wasted_runs_limit_their_route_and_no_other() -> None:
    outcomes = outcomes_after(RunOutcome.WASTED, LOADED_S)

    assert not admits(outcomes, job(deadline=9.0), 2.0)
    assert admits(outcomes, job(route="other", deadline=9.0), 2.0)
    assert admits(outcomes, job(nested=True, deadline=9.0), 2.0)


def test_limit_ends_after_the_last_wasted_run() -> None:
    outcomes = outcomes_after(RunOutcome.WASTED, LOADED_S)

    assert admits(outcomes, job(deadline=99.0), 2.0 + LIMIT_TTL_S)
    assert outcomes.routes["read"].limit is None


def test_request_whose_usual_run_does_not_fit_is_mostly_refused() -> None:
    outcomes = outcomes_after(RunOutcome.SUCCEEDED, LOADED_S)
    outcomes.routes["read"].limit = 1000.0
    outcomes.routes["read"].wasted_at = 2.0
    late = [admits(outcomes, job(n, deadline=2.4), 2.0) for n in range(100)]

    assert sum(late) == 5
    assert admits(outcomes, job(deadline=2.6), 2.0)


def test_end_that_is_reported_twice_counts_once() -> None:
    outcomes = RunOutcomes()
    record_admitted(outcomes, 1, job(1), 0.0)
    record_admitted(outcomes, 2, job(2), 0.0)
    for _ in range(2):
        record_end(outcomes, 1, RunOutcome.OTHER, 0.0, 0.1)

    assert outcomes.routes["read"].running == 1
    assert list(outcomes.admitted) == [2]


def test_outcomes_of_any_number_of_routes_are_bounded() -> None:
    outcomes = RunOutcomes()
    for number in range(3 * MAX_ROUTES):
        record_admitted(outcomes, number, job(number, route=f"route{number}"), 0.0)
        record_end(outcomes, number, RunOutcome.SUCCEEDED, 0.1, 0.1)

    assert len(outcomes.routes) == MAX_ROUTES
    assert not outcomes.admitted


# Guards against deployments whose routes were renamed often: their new routes would
# never have a limit.
def test_routes_without_requests_make_room_for_others() -> None:
    outcomes = RunOutcomes()
    for number in range(MAX_ROUTES):
        record_admitted(outcomes, number, job(number, route=f"route{number}"), 0.0)
        if number:
            record_end(outcomes, number, RunOutcome.SUCCEEDED, 0.1, 0.1)
    record_admitted(outcomes, 900, job(900, route="route1"), LIMIT_TTL_S)
    record_admitted(outcomes, 901, job(901, route="new"), LIMIT_TTL_S + 1.0)

    assert {"route0", "route1", "new"} <= set(outcomes.routes)
    assert len(outcomes.routes) == MAX_ROUTES


def two_limited(urgent: float, other: float) -> RunOutcomes:
    """Return two routes with limits; none of them has a run."""
    outcomes = RunOutcomes()
    for name, rank, limit in [("urgent", 0, urgent), ("other", 5, other)]:
        route = RouteOutcomes(rank, limit=limit, wasted_at=100.0)
        outcomes.routes[name] = outcomes.limited[name] = route
    return outcomes


def admitted_of(outcomes: RunOutcomes, requests: int, now: float) -> int:
    """Return how many requests of the urgent route begin, none of which ends."""
    admitted = 0
    for ticket in range(requests):
        entering = job(ticket, route="urgent", rank=0, deadline=now + 9.0)
        if admits(outcomes, entering, now):
            record_admitted(outcomes, ticket, entering, now)
            admitted += 1
    return admitted


# Guards against a limit that rises with each refusal, on account of a less urgent route
# whose clients have left: the called services have no such room.
def test_room_that_a_less_urgent_route_does_not_use_is_not_taken() -> None:
    outcomes = two_limited(urgent=4.0, other=20.0)

    assert admitted_of(outcomes, 300, now=101.0) <= 5


def test_limit_of_a_route_without_requests_ends_too() -> None:
    """Otherwise it takes the reductions that are due to the routes in use."""
    outcomes = two_limited(urgent=4.0, other=20.0)
    outcomes.routes["urgent"].wasted_at = 101.0 + LIMIT_TTL_S
    admitted_of(outcomes, 1, now=101.0 + LIMIT_TTL_S)

    assert list(outcomes.limited) == ["urgent"]
    assert outcomes.routes["other"].limit is None
