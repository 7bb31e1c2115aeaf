from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path

import aiohttp
import pytest
from testing.fleet.platform_fleet import HOST
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.test_path import add_two_desks
from testing.fleet.test_path import arrivals

RUN_S = 1.4
STOP_S = 2.5


async def ask_until_closed(
    node: Node, path: str, method: str, outcomes: dict[str, int | str]
) -> None:
    """Send requests to a node in turn until it accepts no connection.

    :param outcomes: status of each request by id, or the error that ended it.
    """
    worker = len(outcomes)
    async with aiohttp.ClientSession() as session:
        for number in range(1_000):
            request_id = f"{path}-{worker}-{number}"
            outcomes[request_id] = "sent"
            headers = {
                "Host": HOST,
                "X-Attempt-Id": request_id,
                "X-Deadline-Ms": "3000",
            }
            try:
                async with session.request(
                    method, f"http://{node.clients}{path}", headers=headers
                ) as answer:
                    await answer.read()
                    outcomes[request_id] = answer.status
            except aiohttp.ClientConnectorError:
                del outcomes[request_id]
                return
            except aiohttp.ClientError as error:
                outcomes[request_id] = repr(error)
            await asyncio.sleep(0.01)


@pytest.mark.parametrize(("path", "method"), [("/book/1", "POST"), ("/read/1", "GET")])
def test_no_request_that_was_passed_on_is_cut_at_the_end_of_a_stop(
    tmp_path: Path, path: str, method: str
) -> None:
    """Clients keep using their connections until the node is gone."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.stop_timeout_s = STOP_S
        entry, *desks = await add_two_desks(fleet, run_s=RUN_S)
        outcomes: dict[str, int | str] = {}
        workers = []
        for _ in range(8):
            workers.append(
                asyncio.create_task(ask_until_closed(entry, path, method, outcomes))
            )
            await asyncio.sleep(0.1)
        await asyncio.sleep(2 * RUN_S)
        entry.life.request_stop()
        await entry.task
        await asyncio.gather(*workers)

        cut = {i: o for i, o in outcomes.items() if not isinstance(o, int)}
        ran = Counter(arrivals(*desks))
        assert not [request_id for request_id in cut if ran[request_id]]
        refused = [i for i, o in outcomes.items() if o in (429, 503)]
        assert not [request_id for request_id in refused if ran[request_id]]
        served = [i for i, o in outcomes.items() if o == 200]
        assert all(ran[request_id] == 1 for request_id in served)
        assert len(served) > 8

    run_scenario(tmp_path, scenario)


def test_request_that_a_stop_leaves_no_time_for_is_refused(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.stop_timeout_s = STOP_S
        entry, *desks = await add_two_desks(fleet, run_s=RUN_S)
        first = [fleet.ask(entry, "/book/1", "POST") for _ in range(4)]
        assert [status for status, _, _ in await asyncio.gather(*first)] == [200] * 4
        entry.life.request_stop()
        in_time = asyncio.create_task(fleet.ask(entry, "/book/2", "POST"))
        await asyncio.sleep(STOP_S - RUN_S + 0.1)
        status, _, answer = await fleet.ask(entry, "/book/3", "POST")
        assert status == 503
        assert answer.headers["Masticspoke-Reason"] == "stopping"
        assert float(answer.headers["Retry-After"]) > 0
        assert (await in_time)[0] == 200
        await entry.task
        assert len(arrivals(*desks)) == 5

    run_scenario(tmp_path, scenario)


def test_run_that_takes_longer_than_usual_is_answered_before_the_stop_ends(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.stop_timeout_s = STOP_S
        entry, *desks = await add_two_desks(fleet, run_s=0.05)
        first = [fleet.ask(entry, "/read/1") for _ in range(8)]
        assert [status for status, _, _ in await asyncio.gather(*first)] == [200] * 8
        for desk in desks:
            desk.backend.run_s = STOP_S
        entry.life.request_stop()
        await asyncio.sleep(1.15)
        status, _, _ = await fleet.ask(entry, "/read/2")
        assert status == 504
        await entry.task

    run_scenario(tmp_path, scenario)
