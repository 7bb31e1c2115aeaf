from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until

from _masticspoke.border.hop import decode_guard
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.http_connection import ClientConnection
from _masticspoke.model import Address

# Routes as rows of the configuration; ``platform_operator.COLUMNS`` names the fields.
READ = ["read", "shop.example", "/read/", "idempotent", 1500, 800, 1, None, 2, "desk"]
BOOK = [
    "book",
    "shop.example",
    "/book/",
    "non_idempotent",
    1500,
    800,
    1,
    None,
    2,
    "desk",
]


async def add_two_desks(
    fleet: PlatformFleet, **options: object
) -> tuple[Node, Node, Node]:
    """Return a node with a ``board`` server, and two with ``desk`` servers.

    The two routes lead to ``desk``.
    """
    fleet.publish(READ, BOOK)
    entry = await fleet.add("board")
    first = await fleet.add("desk", **options)
    second = await fleet.add("desk", **options)
    await fleet.wait_until_synchronised()
    return entry, first, second


def arrivals(*nodes: Node) -> list[str]:
    return [a.request_id for node in nodes for a in node.backend.arrivals]


def test_request_reaches_a_server_on_another_vm_unchanged(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet)
        status, body, answer = await fleet.ask(
            entry, "/read/7?x=%20y", "POST", body=b"asked"
        )
        (arrival,) = desks[0].backend.arrivals + desks[1].backend.arrivals

        assert status == 200
        assert body.decode().endswith(arrival.request_id)
        assert arrival.path == "/read/7?x=%20y"
        assert arrival.body == b"asked"
        assert 0 < arrival.deadline_ms <= 1500
        assert arrival.caller == "board"
        assert answer.headers["X-Response-Signature"]
        assert not [h for h in answer.headers if h.startswith("Masticspoke")]

    run_scenario(tmp_path, scenario)


def test_forged_internal_headers_are_removed_at_the_entry(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet)
        forged = {
            "X-Caller-Service": "forged",
            "X-Expected-Instance": "forged",
            "Masticspoke-Job": '["x","read","desk","forged",0,1,1,0,9,9]',
        }
        status, _, _ = await fleet.ask(entry, "/read/7", **forged)
        (arrival,) = desks[0].backend.arrivals + desks[1].backend.arrivals

        assert status == 200
        assert arrival.caller == "board"

    run_scenario(tmp_path, scenario)


def test_request_gets_503_without_a_configuration_and_404_without_a_route(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        node = await fleet.add("desk")
        assert (await fleet.ask(node, "/read/7"))[0] == 503
        fleet.publish(READ)
        await fleet.wait_until_synchronised()
        assert (await fleet.ask(node, "/none/7"))[0] == 404

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["failing", "reset", "truncated", "unframed", "shed"])
def test_idempotent_request_is_retried_at_another_server(
    tmp_path: Path, fault: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, second = await add_two_desks(fleet)
        first.backend.faults = [fault]
        second.backend.faults = [fault]
        statuses = [(await fleet.ask(entry, f"/read/{n}"))[0] for n in range(6)]

        assert statuses.count(200) >= 5

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("fault", ["reset", "truncated", "unframed"])
def test_booking_that_may_have_run_is_not_sent_again(
    tmp_path: Path, fault: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, second = await add_two_desks(fleet)
        first.backend.faults = [fault]
        second.backend.faults = [fault]
        status, _, _ = await fleet.ask(entry, "/book/1", "POST", body=b"x")

        assert status == 502
        assert len(arrivals(first, second)) == 1

    run_scenario(tmp_path, scenario)


def test_booking_that_every_server_sheds_is_refused_without_a_run(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, second = await add_two_desks(fleet)
        first.backend.faults = ["shed"]
        second.backend.faults = ["shed", "shed"]
        status, _, answer = await fleet.ask(entry, "/book/1", "POST", body=b"x")

        assert status == 503
        assert float(answer.headers["Retry-After"]) > 0
        assert arrivals(first, second) == []

    run_scenario(tmp_path, scenario)


def test_complete_answer_without_a_length_is_forwarded(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, second = await add_two_desks(fleet)
        first.backend.faults = ["unframed-whole"]
        second.backend.faults = ["unframed-whole"]
        status, body, _ = await fleet.ask(entry, "/book/1", "POST", body=b"x")

        assert (status, body) == (200, b"all of it")

    run_scenario(tmp_path, scenario)


def test_unsolicited_second_answer_is_discarded(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        node = await fleet.add("desk", run_s=0.05)
        await fleet.wait_until_synchronised()
        node.backend.faults = ["extra"] * 10
        for _ in range(10):
            status, body, _ = await fleet.ask(node, "/read/1")
            assert status == 200
            assert body.decode().split()[-1] == node.backend.arrivals[-1].request_id

    run_scenario(tmp_path, scenario)


def test_slow_run_is_answered_with_504_at_the_route_timeout(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *_ = await add_two_desks(fleet, run_s=5.0)
        started_at = time.monotonic()
        status, _, _ = await fleet.ask(entry, "/read/1", timeout_ms=30_000)

        assert status == 504
        assert 1.4 < time.monotonic() - started_at < 2.0

    run_scenario(tmp_path, scenario)


def test_run_is_cancelled_when_its_client_disconnects(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet, run_s=5.0)
        request_task = asyncio.create_task(fleet.ask(entry, "/read/1"))
        await wait_until(lambda: len(arrivals(*desks)) == 1)
        request_task.cancel()
        (arrival,) = desks[0].backend.arrivals + desks[1].backend.arrivals
        await wait_until(lambda: arrival.cancelled, 0.5)

    run_scenario(tmp_path, scenario)


def test_draining_server_gets_no_request_after_its_heartbeat_is_answered(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, _ = await add_two_desks(fleet)
        control_plane = first.control_plane
        assert (
            await first.backend.announce(fleet.session, control_plane, "draining")
            == 200
        )
        first.backend.arrivals.clear()
        statuses = [(await fleet.ask(entry, f"/read/{n}"))[0] for n in range(10)]

        assert statuses == [200] * 10
        assert arrivals(first) == []

    run_scenario(tmp_path, scenario)


def test_request_for_the_old_service_does_not_run_at_a_reused_address(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, _ = await add_two_desks(fleet)
        first.backend.service = "board"
        first.backend.instance = "i-other"
        first.backend.born += 5_000
        statuses = [(await fleet.ask(entry, f"/read/{n}"))[0] for n in range(6)]

        assert statuses == [200] * 6
        assert arrivals(first) == []

    run_scenario(tmp_path, scenario)


# GONE: orders that waited in another node's queue ran after their clients had left.
def test_waiting_booking_does_not_run_once_its_client_has_left(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ, BOOK)
        desk = await fleet.add("desk", slots=1, run_s=0.3)
        entry = await fleet.add("board")
        await fleet.wait_until_synchronised()
        first = asyncio.create_task(fleet.ask(entry, "/book/1", "POST"))
        await wait_until(lambda: len(arrivals(desk)) == 1)
        waiting = asyncio.create_task(fleet.ask(entry, "/book/2", "POST"))
        await asyncio.sleep(0.1)
        waiting.cancel()
        assert (await first)[0] == 200
        await asyncio.sleep(0.3)
        assert len(arrivals(desk)) == 1
        assert desk.parts.gate_state.queue.queued == 0
        assert (await fleet.ask(entry, "/book/3", "POST"))[0] == 200

    run_scenario(tmp_path, scenario)


def test_waiting_booking_is_sent_again_after_its_connection_broke(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ, BOOK)
        desk = await fleet.add("desk", slots=1, run_s=0.2)
        entry = await fleet.add("board")
        await fleet.wait_until_synchronised()
        first = asyncio.create_task(fleet.ask(desk, "/book/1", "POST"))
        await wait_until(lambda: len(arrivals(desk)) == 1)
        connections = record_connections_to_nodes(entry, monkeypatch)
        waiting = asyncio.create_task(fleet.ask(entry, "/book/2", "POST"))
        await wait_until(lambda: desk.parts.gate_state.queue.queued == 1, 0.2)
        for connection in connections:
            connection.abort()
        status, _, _ = await waiting
        await first
        assert status in (200, 503)
        assert arrivals(desk).count("r1") == (1 if status == 200 else 0)

    run_scenario(tmp_path, scenario)


# ROUTE: a request that waited for a silent server ran at its successor at the address.
def test_waiting_request_does_not_run_at_another_service(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ, BOOK)
        desk = await fleet.add("desk", slots=1, run_s=0.3)
        await fleet.wait_until_synchronised()
        first = asyncio.create_task(fleet.ask(desk, "/book/1", "POST"))
        await wait_until(lambda: len(arrivals(desk)) == 1)
        waiting = asyncio.create_task(fleet.ask(desk, "/book/2", "POST"))
        await asyncio.sleep(0.05)
        desk.backend.service = "board"
        desk.backend.instance = "i-other"
        desk.backend.born += 5_000
        assert await desk.backend.announce(fleet.session, desk.control_plane) == 200
        await first
        assert (await waiting)[0] == 503
        assert len(arrivals(desk)) == 1

    run_scenario(tmp_path, scenario)


def test_node_gets_the_configuration_from_a_peer_while_the_log_is_down(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        first = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        fleet.log.faults.down = True
        late = await fleet.add("board")
        await wait_until(lambda: late.parts.configuration.value is not None)
        await wait_until(lambda: len(late.parts.registry_state.members.by_address) == 2)
        assert (await fleet.ask(late, "/read/1"))[0] == 200
        assert arrivals(first)

    run_scenario(tmp_path, scenario)


def test_answer_of_a_booking_is_fetched_after_its_connection_broke(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, second = await add_two_desks(fleet, run_s=0.3)
        connections = record_connections_to_nodes(entry, monkeypatch)
        request_task = asyncio.create_task(
            fleet.ask(entry, "/book/1", "POST", body=b"x")
        )
        await wait_until(lambda: len(arrivals(first, second)) == 1)
        for connection in connections:
            connection.abort()
        status, body, _ = await request_task

        assert status == 200
        assert body.decode().endswith(arrivals(first, second)[0])

    run_scenario(tmp_path, scenario)


def record_connections_to_nodes(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> list[ClientConnection]:
    """Return a list that gets each connection to other nodes that is acquired."""
    connections: list[ClientConnection] = []
    acquire = node.parts.node_connections.acquire

    async def recording_acquire(
        address: Address, timeout_s: float | None
    ) -> ClientConnection:
        connections.append(await acquire(address, timeout_s))
        return connections[-1]

    monkeypatch.setattr(node.parts.node_connections, "acquire", recording_acquire)
    return connections


def test_planned_stop_interrupts_no_request(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        fleet.stop_timeout_s = 5.0
        _, first, second = await add_two_desks(fleet, run_s=0.4)
        request_tasks = [
            asyncio.create_task(fleet.ask(first, "/read/1")) for _ in range(5)
        ]
        await wait_until(lambda: len(arrivals(first, second)) == 5)
        first.life.request_stop()
        url = f"http://{first.parts.settings.readiness}/readiness"
        async with fleet.session.get(url) as answer:
            assert answer.status == 503
        request_tasks += [
            asyncio.create_task(fleet.ask(first, "/read/2")) for _ in range(5)
        ]
        statuses = [status for status, _, _ in await asyncio.gather(*request_tasks)]
        await first.task

        assert statuses == [200] * 10

    run_scenario(tmp_path, scenario)


def test_metrics_count_requests_by_outcome(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, first, second = await add_two_desks(fleet)
        for number in range(4):
            await fleet.ask(entry, f"/read/{number}")
        first.backend.faults = second.backend.faults = ["shed"] * 4
        await fleet.ask(entry, "/book/1", "POST", body=b"x")
        await fleet.ask(entry, "/none/1")
        url = f"http://{entry.parts.settings.metrics}/metrics"
        async with fleet.session.get(url) as answer:
            lines = (await answer.text()).splitlines()

        name = "masticspoke_fleet_requests_total"
        read = 'origin="client",route="read",outcome="200",reason=""'
        book = 'origin="client",route="book",outcome="refused",reason="shed"'
        assert f"{name}{{{read}}} 4" in lines
        assert f"{name}{{{book}}} 1" in lines
        assert "masticspoke_configuration_version 10" in lines

    run_scenario(tmp_path, scenario)


def test_client_of_the_same_vm_is_not_counted_as_a_nested_call(
    tmp_path: Path,
) -> None:
    """A client and a nested call on the same VM have the same source address.

    If all requests from it counted as nested, the limits on requests that are not
    nested would apply to none of them.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        node = await fleet.add("desk", run_s=0.5)
        await fleet.wait_until_synchronised()
        parent_task = asyncio.create_task(fleet.ask(node, "/read/1"))
        await wait_until(lambda: len(arrivals(node)) == 1)
        parent = arrivals(node)[0]
        nested = {"X-Attempt-Id": f"{parent}.1"}
        calls = [fleet.ask(node, "/read/2", **nested), fleet.ask(node, "/read/3")]
        await asyncio.gather(parent_task, *calls)
        url = f"http://{node.parts.settings.metrics}/metrics"
        async with fleet.session.get(url) as answer:
            lines = (await answer.text()).splitlines()

        name = "masticspoke_fleet_requests_total"
        ended = 'route="read",outcome="200",reason=""'
        assert f'{name}{{origin="nested",{ended}}} 1' in lines
        assert f'{name}{{origin="client",{ended}}} 2' in lines

    run_scenario(tmp_path, scenario)


def test_run_that_failed_after_its_nested_call_is_not_retried(tmp_path: Path) -> None:
    see = ["see", "shop.example", "/see/", "idempotent", 1500, 800, 1, None, 2, "board"]

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ, see)
        entry = await fleet.add("desk")
        boards = [await fleet.add("board", run_s=0.3) for _ in range(2)]
        await fleet.wait_until_synchronised()
        entry.backend.faults = ["failing"] * 2
        for board in boards:
            board.backend.faults = ["failing"]
        request_task = asyncio.create_task(fleet.ask(entry, "/see/1"))
        await wait_until(lambda: bool(arrivals(*boards)))
        (parent,) = arrivals(*boards)
        (parent_board,) = (board for board in boards if board.backend.arrivals)
        nested = await fleet.ask(
            parent_board, "/read/1", **{"X-Attempt-Id": f"{parent}.c"}
        )
        assert nested[0] == 500
        assert (await request_task)[0] == 500
        assert arrivals(*boards) == [parent]

    run_scenario(tmp_path, scenario)


def test_guard_of_another_service_declines_with_moved(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        _, desk, _ = await add_two_desks(fleet)
        job = '["r9","read","%s","board",1,1,0,0,500,900]'
        reasons = []
        for service in ("desk", "board"):
            url = f"http://{desk.parts.settings.nodes}/read/1"
            headers = {"Masticspoke-Job": job % service}
            async with fleet.session.get(url, headers=headers) as answer:
                guard_answer = decode_guard(answer.headers["Masticspoke-Guard"])
                assert guard_answer is not None
                reasons.append(guard_answer.not_run)
        assert reasons == [None, NotRun.MOVED]

    run_scenario(tmp_path, scenario)
