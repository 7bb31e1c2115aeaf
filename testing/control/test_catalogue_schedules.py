from __future__ import annotations

import pytest
from testing.control.catalogue_schedules import INJECTED_FAULTS
from testing.control.catalogue_schedules import Rules
from testing.control.catalogue_schedules import run_schedule

SCHEDULES = 2_000


def test_no_schedule_violates_a_guarantee() -> None:
    violations_by_seed = {
        seed: run_schedule(seed, Rules()) for seed in range(SCHEDULES)
    }

    assert {seed: v for seed, v in violations_by_seed.items() if v} == {}


@pytest.mark.parametrize("name", INJECTED_FAULTS)
def test_checker_finds_injected_fault(name: str) -> None:
    rules = INJECTED_FAULTS[name]

    assert any(run_schedule(seed, rules) for seed in range(SCHEDULES))
