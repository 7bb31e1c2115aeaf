"""A backend server that never answers what it can't queue, nor what follows it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.test_path import BOOK
from testing.fleet.test_path import READ

SLOTS = 6
RUN_S = 0.05


@dataclass
class HangingBackend:
    """:param hangs: whether it answers nothing at all."""

    hangs: bool = False
    running: int = 0
    hung: list[str] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:] if line
                )
                request_id = fields["X-Attempt-Id"]
                if self.hangs or self.running >= SLOTS:
                    self.hung.append(request_id)
                    await reader.read()
                    return
                self.running += 1
                self.runs.append(request_id)
                await asyncio.sleep(RUN_S)
                self.running -= 1
                echo = f"X-Attempt-Id: {request_id}\r\n"
                body = f"Content-Length: {len(request_id)}\r\n\r\n{request_id}"
                writer.write(f"HTTP/1.1 200 OK\r\n{echo}{body}".encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def hanging_desk(
    fleet: PlatformFleet, backend: HangingBackend
) -> tuple[Node, Node]:
    """Return a node with another server, and the node beside ``backend``."""
    fleet.publish(READ, BOOK)
    entry, desk = await fleet.add("board"), await fleet.add("desk", slots=SLOTS)
    await fleet.wait_until_synchronised()
    await desk.backend.stop()
    address = desk.parts.settings.backend
    await asyncio.start_server(backend.serve, address.host, address.port)
    return entry, desk


@pytest.mark.parametrize(("path", "method"), [("/book/1", "POST"), ("/read/1", "GET")])
def test_no_more_is_sent_than_fits_at_five_times_the_load(
    tmp_path: Path, path: str, method: str
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        backend = HangingBackend()
        entry, _ = await hanging_desk(fleet, backend)

        async def ask_in_turn() -> list[int]:
            return [(await fleet.ask(entry, path, method))[0] for _ in range(8)]

        results = await asyncio.gather(*(ask_in_turn() for _ in range(5 * SLOTS)))
        statuses = [status for result in results for status in result]
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) == len(backend.runs) == len(set(backend.runs))
        assert not backend.hung

    run_scenario(tmp_path, scenario)


def test_booking_that_hangs_is_not_said_to_have_not_run(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        backend = HangingBackend(hangs=True)
        entry, desk = await hanging_desk(fleet, backend)
        for node in (entry, desk):
            status, _, _ = await fleet.ask(node, "/book/1", "POST", timeout_ms=500)
            assert status == 504
        assert len(set(backend.hung)) == len(backend.hung) == 2

    run_scenario(tmp_path, scenario)


def test_connection_of_an_overdue_answer_is_not_used_again(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        backend = HangingBackend()
        entry, _ = await hanging_desk(fleet, backend)
        assert (await fleet.ask(entry, "/read/1"))[0] == 200
        backend.hangs = True
        assert (await fleet.ask(entry, "/read/2", timeout_ms=300))[0] == 504
        backend.hangs = False
        await asyncio.sleep(0.1)
        status, body, _ = await fleet.ask(entry, "/read/3")
        assert (status, body.decode()) == (200, backend.runs[-1])

    run_scenario(tmp_path, scenario)
