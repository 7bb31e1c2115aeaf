"""Guarantees of both front ends, observed at a client and the backend servers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path

import aiohttp
import pytest
from testing.contract import front_ends
from testing.contract.front_ends import FrontEnd

OpenFrontEnd = Callable[[Path], AbstractAsyncContextManager[FrontEnd]]
EACH_FRONT_END = pytest.mark.parametrize(
    "open_front_end", [front_ends.product, front_ends.platform]
)
# Longest time from a deadline or a disconnect until no backend server runs the request.
MAX_CANCELLATION_S = 0.5


def run_scenario(
    open_front_end: OpenFrontEnd,
    folder: Path,
    scenario: Callable[[FrontEnd], Awaitable[None]],
) -> None:
    async def run() -> None:
        async with open_front_end(folder) as front_end:
            await scenario(front_end)

    asyncio.run(run())


@EACH_FRONT_END
def test_long_answer_is_complete(open_front_end: OpenFrontEnd, tmp_path: Path) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        answer = await front_end.ask(front_ends.LONG, 5.0)
        assert answer.status == 200
        assert answer.body == front_end.long_body

    run_scenario(open_front_end, tmp_path, scenario)


@EACH_FRONT_END
def test_refused_request_did_not_run_and_was_sent_a_bounded_number_of_times(
    open_front_end: OpenFrontEnd, tmp_path: Path
) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        before = await front_end.backend_counts()
        answer = await front_end.ask(front_ends.SHED, 2.0)
        after = await front_end.backend_counts()
        assert answer.status == 503
        assert 1 <= after.received - before.received <= 1 + front_ends.MAX_SENDS
        assert after.running == 0

    run_scenario(open_front_end, tmp_path, scenario)


@EACH_FRONT_END
def test_backend_server_receives_the_remaining_deadline(
    open_front_end: OpenFrontEnd, tmp_path: Path
) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        answer = await front_end.ask(front_ends.READ, 0.9)
        assert answer.status == 200
        assert 0.5 < front_end.forwarded_deadline_s(answer) <= 0.9

    run_scenario(open_front_end, tmp_path, scenario)


@EACH_FRONT_END
def test_request_is_answered_and_cancelled_at_its_deadline(
    open_front_end: OpenFrontEnd, tmp_path: Path
) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        started_at = time.monotonic()
        answer = await front_end.ask(front_ends.SLOW, 0.4)
        assert answer.status == 504
        assert 0.3 < time.monotonic() - started_at < 0.4 + MAX_CANCELLATION_S
        await front_ends.wait_until_idle(front_end, MAX_CANCELLATION_S)

    run_scenario(open_front_end, tmp_path, scenario)


@EACH_FRONT_END
def test_request_is_cancelled_when_its_client_disconnects(
    open_front_end: OpenFrontEnd, tmp_path: Path
) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        request = asyncio.ensure_future(front_end.ask(front_ends.SLOW, 4.0))
        while not (await front_end.backend_counts()).running:
            await asyncio.sleep(0.02)
        request.cancel()
        with pytest.raises((asyncio.CancelledError, aiohttp.ClientError)):
            await request
        await front_ends.wait_until_idle(front_end, MAX_CANCELLATION_S)

    run_scenario(open_front_end, tmp_path, scenario)
