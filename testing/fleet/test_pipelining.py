"""Pipelined requests through a node of the platform."""

from __future__ import annotations

import asyncio
from pathlib import Path

from testing.fleet.platform_fleet import HOST
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import add_two_desks
from testing.fleet.test_path import arrivals


def request(path: str, request_id: str) -> bytes:
    head = (
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 3000\r\n\r\n"
    )
    return head.encode()


# LATE: 37 in 100 answers to pipelined requests came after the sum of the runs before.
def test_idempotent_requests_run_at_the_same_time_and_others_alone(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet, run_s=0.3)
        address = entry.parts.settings.clients
        reader, writer = await asyncio.open_connection(address.host, address.port)
        reads = [request("/read/1", f"a{i}") for i in range(4)]
        books = [request("/book/1", f"b{i}") for i in range(2)]
        writer.write(b"".join([*reads, *books]))

        def running() -> int:
            return sum(desk.backend.running for desk in desks)

        await wait_until(lambda: running() == 4)
        assert len(arrivals(*desks)) == 4
        for request_id in ("a0", "a1", "a2", "a3", "b0", "b1"):
            answer = await reader.readuntil(b" " + request_id.encode())
            assert answer.count(b"HTTP/1.1 200") == 1
            if request_id == "a3":
                await wait_until(lambda: running() == 1)
                assert len(arrivals(*desks)) == 5
        assert sorted(arrivals(*desks)) == ["a0", "a1", "a2", "a3", "b0", "b1"]
        writer.close()

    run_scenario(tmp_path, scenario)


def test_runs_of_all_pipelined_requests_end_when_the_client_leaves(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet, run_s=1.0)
        address = entry.parts.settings.clients
        _, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"".join(request("/read/1", f"a{i}") for i in range(5)))
        await wait_until(lambda: sum(d.backend.running for d in desks) == 5)
        writer.close()
        await wait_until(lambda: not any(d.backend.running for d in desks), 0.7)
        assert all(a.cancelled for d in desks for a in d.backend.arrivals)

    run_scenario(tmp_path, scenario)
