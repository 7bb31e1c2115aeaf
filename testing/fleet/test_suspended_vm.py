"""A VM that is suspended: the steady clock stands still, the boot clock goes on."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import arrivals
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ

SUSPENDED_S = 10.0


@pytest.mark.parametrize(("path", "method"), [("/book/2", "POST"), ("/read/2", "GET")])
def test_request_that_waited_through_a_suspension_does_not_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, path: str, method: str
) -> None:
    """Its deadline has passed, although its timers have not run."""
    clock_gettime = time.clock_gettime
    suspended_s = 0.0

    def gettime(clock: int) -> float:
        jump_s = suspended_s if clock == time.CLOCK_BOOTTIME else 0.0
        return clock_gettime(clock) + jump_s

    async def scenario(fleet: PlatformFleet) -> None:
        nonlocal suspended_s
        monkeypatch.setattr(time, "clock_gettime", gettime)
        fleet.publish(READ, BOOK)
        entry = await fleet.add("board")
        desk = await fleet.add("desk", run_s=0.3, slots=1)
        await fleet.wait_until_synchronised()
        running = asyncio.create_task(fleet.ask(entry, "/book/1", "POST"))
        await wait_until(lambda: len(arrivals(desk)) == 1)
        waiting = asyncio.create_task(fleet.ask(entry, path, method))
        await wait_until(lambda: desk.parts.gate_state.queue.queued == 1)
        suspended_s = SUSPENDED_S
        await running
        status, _, _ = await waiting
        assert status in (503, 504)
        assert len(arrivals(desk)) == 1

    run_scenario(tmp_path, scenario)
