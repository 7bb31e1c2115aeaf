"""What holds at either front end, seen by a client and by the backend servers."""

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

Open = Callable[[Path], AbstractAsyncContextManager[FrontEnd]]
BOTH = pytest.mark.parametrize("opened", [front_ends.product, front_ends.platform])
# From the end of a client's wait until work for it has ended.
_LEFT_S = 0.5


def play(
    opened: Open, folder: Path, scenario: Callable[[FrontEnd], Awaitable[None]]
) -> None:
    async def run() -> None:
        async with opened(folder) as front_end:
            await scenario(front_end)

    asyncio.run(run())


@BOTH
def test_proper_answer_arrives_whole(opened: Open, tmp_path: Path) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        answer = await front_end.ask(front_ends.LONG, 5.0)
        assert answer.status == 200
        assert answer.body == front_end.long_body

    play(opened, tmp_path, scenario)


@BOTH
def test_refusal_says_truly_that_nothing_ran_within_the_allowance(
    opened: Open, tmp_path: Path
) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        before = await front_end.seen()
        answer = await front_end.ask(front_ends.SHED, 2.0)
        after = await front_end.seen()
        assert answer.status == 503
        assert 1 <= after.sent - before.sent <= 1 + front_ends.MAX_SENDS
        assert after.running == 0

    play(opened, tmp_path, scenario)


@BOTH
def test_deadline_is_handed_down_as_what_is_left(opened: Open, tmp_path: Path) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        answer = await front_end.ask(front_ends.READ, 0.9)
        assert answer.status == 200
        assert 0.5 < front_end.handed_down_s(answer) <= 0.9

    play(opened, tmp_path, scenario)


@BOTH
def test_final_answer_comes_at_the_deadline_and_work_ends(
    opened: Open, tmp_path: Path
) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        began = time.monotonic()
        answer = await front_end.ask(front_ends.SLOW, 0.4)
        assert answer.status == 504
        assert 0.3 < time.monotonic() - began < 0.4 + _LEFT_S
        await front_ends.until_idle(front_end, _LEFT_S)

    play(opened, tmp_path, scenario)


@BOTH
def test_work_ends_when_its_client_leaves(opened: Open, tmp_path: Path) -> None:
    async def scenario(front_end: FrontEnd) -> None:
        asking = asyncio.ensure_future(front_end.ask(front_ends.SLOW, 4.0))
        while not (await front_end.seen()).running:
            await asyncio.sleep(0.02)
        asking.cancel()
        with pytest.raises((asyncio.CancelledError, aiohttp.ClientError)):
            await asking
        await front_ends.until_idle(front_end, _LEFT_S)

    play(opened, tmp_path, scenario)
