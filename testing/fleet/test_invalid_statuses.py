"""Answers of backend servers whose status is no answer, through a node."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.test_path import add_two_desks
from testing.fleet.test_path import arrivals
from testing.standins.platform_backend import INVALID_STATUSES

FAULTS = [*(f"status-{status[:3]}" for status in INVALID_STATUSES), "slow-interim"]
# Far below the deadline of 2 s, until which the caller used to wait.
MAX_ANSWER_S = 0.5


# LOST: everything below 200 counted as interim, so the caller waited to its deadline.
@pytest.mark.parametrize("fault", FAULTS)
def test_repeatable_request_is_answered_by_another_server(
    tmp_path: Path, fault: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet)
        for desk in desks:
            desk.backend.faults = [fault]
        started_at = time.monotonic()
        status, _, _ = await fleet.ask(entry, "/read/1")
        assert status == 502  # both servers failed
        assert len(arrivals(*desks)) == 2
        desks[0].backend.faults = [fault]
        status, _, _ = await fleet.ask(entry, "/read/2")
        assert status == 200
        assert time.monotonic() - started_at < 2 * MAX_ANSWER_S

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("entry_number", [0, 1])
def test_other_request_runs_once_and_gets_502_at_once(
    tmp_path: Path, fault: str, entry_number: int
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        nodes = await add_two_desks(fleet)
        for desk in nodes[1:]:
            desk.backend.faults = [fault]
        started_at = time.monotonic()
        status, _, _ = await fleet.ask(nodes[entry_number], "/book/1", "POST")
        assert status == 502
        assert time.monotonic() - started_at < MAX_ANSWER_S
        assert len(arrivals(*nodes[1:])) == 1

    run_scenario(tmp_path, scenario)


def test_answer_behind_an_interim_one_arrives(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet)
        for desk in desks:
            desk.backend.faults = ["interim"]
        status, _, _ = await fleet.ask(entry, "/book/1", "POST")
        assert status == 200

    run_scenario(tmp_path, scenario)
