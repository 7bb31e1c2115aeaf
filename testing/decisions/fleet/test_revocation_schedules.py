"""No removed key is served to a request that was sent later than the bound."""

from __future__ import annotations

import pytest
from hypothesis import find
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from testing.decisions.fleet.revocation_schedules import Rules
from testing.decisions.fleet.revocation_schedules import run_schedule
from testing.decisions.fleet.revocation_schedules import SCHEDULES
from testing.decisions.fleet.revocation_schedules import Step

from _masticspoke.decisions.fleet.freshness import Confirmation
from _masticspoke.decisions.fleet.freshness import is_fresh


@settings(max_examples=1_000, deadline=None, derandomize=True)
@given(SCHEDULES)
def test_removed_key_is_served_at_no_node_after_the_bound(steps: list[Step]) -> None:
    assert run_schedule(steps, Rules()).violations == []


def confirm_any(
    current: Confirmation, version_in_force: int, version: int, at: float
) -> Confirmation:
    return max(current, Confirmation(version_in_force, at), key=lambda c: c.at)


def is_always_fresh(
    confirmation: Confirmation, version: int, bound_s: float | None, now: float
) -> bool:
    return True


FAULTS = {
    "confirmed at the time of the answer": Rules(
        confirmed_at=lambda sent_at, now, age_s: now - age_s
    ),
    "the relay's age left out": Rules(confirmed_at=lambda sent_at, now, age_s: sent_at),
    "another version confirmed": Rules(confirm=confirm_any),
    "confirmed by a peer": Rules(peers_confirm=True),
    "never stale": Rules(is_fresh=is_always_fresh),
    "bound counted twice": Rules(
        is_fresh=lambda c, version, bound_s, now: is_fresh(
            c, version, 2 * (bound_s or 0.0), now
        )
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_search_finds_each_injected_fault(name: str) -> None:
    """A search that finds none of them would not find the next fault either."""
    rules = FAULTS[name]
    steps = find(
        SCHEDULES,
        lambda steps: bool(run_schedule(steps, rules).violations),
        settings=settings(
            max_examples=20_000,
            deadline=None,
            derandomize=True,
            database=None,
            phases=[Phase.generate],
            suppress_health_check=list(HealthCheck),
        ),
    )

    assert run_schedule(steps, Rules()).violations == []


def test_schedules_serve_keys_too() -> None:
    """A rule that refuses every key would keep the bound as well."""
    find(
        SCHEDULES,
        lambda steps: run_schedule(steps, Rules()).served >= 5,
        settings=settings(
            max_examples=2_000,
            deadline=None,
            derandomize=True,
            database=None,
            phases=[Phase.generate],
        ),
    )
