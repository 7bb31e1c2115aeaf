from __future__ import annotations

from itertools import chain

import pytest
from testing.explorer.explore import explore
from testing.explorer.faults import FAULTS
from testing.explorer.faults import FIRST_SEEDS
from testing.matching import assert_that
from testtools.matchers import GreaterThan
from testtools.matchers import Is
from testtools.matchers import Not

SCHEDULES = 2_000
MAX_SCHEDULES = 8_000


def test_no_key_runs_twice_and_no_answer_is_false() -> None:
    outcome = explore(range(SCHEDULES))

    assert_that(outcome.found, Is(None))
    assert_that(outcome.runs, GreaterThan(SCHEDULES // 2))
    assert_that(outcome.confirmed_runs, GreaterThan(SCHEDULES // 4))
    assert_that(outcome.views, GreaterThan(2 * SCHEDULES))


@pytest.mark.parametrize("name", FAULTS)
def test_explorer_finds_injected_fault(name: str) -> None:
    seeds = chain((FIRST_SEEDS[name],), range(MAX_SCHEDULES))

    outcome = explore(seeds, FAULTS[name])

    assert_that(outcome.found, Not(Is(None)))
