"""Uploads to a node whose memory for bodies is limited."""

from __future__ import annotations

import asyncio
from pathlib import Path

from testing.fleet.platform_fleet import HOST
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import add_two_desks
from testing.fleet.test_path import arrivals

BODY_BYTES = 60_000


async def start_upload(
    node: Node, length: int = BODY_BYTES, extra: str = ""
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send the head of an upload, and nothing of its body."""
    address = node.parts.settings.clients
    reader, writer = await asyncio.open_connection(address.host, address.port)
    head = (
        f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: u-{id(writer)}\r\n"
        f"Content-Length: {length}\r\n{extra}\r\n"
    )
    writer.write(head.encode())
    return reader, writer


# MEMORY: 40 uploads at once held all of their bodies, whatever the node's limit.
def test_uploads_beyond_the_memory_are_refused_before_they_are_read(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet)
        bodies = entry.parts.bodies
        bodies.limit_bytes = 5 * BODY_BYTES
        uploads = [await start_upload(entry) for _ in range(40)]
        await wait_until(lambda: bodies.held_bytes == 5 * BODY_BYTES)
        refused = 0
        for reader, writer in uploads[5:]:
            head = await reader.readuntil(b"\r\n\r\n")
            refused += head.startswith(b"HTTP/1.1 503")
            assert b"Masticspoke-Reason: no-body-memory" in head
            assert b"Retry-After" in head
            writer.close()
        assert refused == 35
        # Those that send slowly hold no slot, and are served once they are whole.
        assert arrivals(*desks) == []
        for reader, writer in uploads[:5]:
            writer.write(bytes(BODY_BYTES))
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")
            writer.close()
        await wait_until(lambda: bodies.held_bytes == 0)

    run_scenario(tmp_path, scenario)


def test_client_that_leaves_in_the_middle_gives_its_memory_back(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *_ = await add_two_desks(fleet)
        entry.parts.bodies.limit_bytes = BODY_BYTES
        _, writer = await start_upload(entry)
        writer.write(b"x" * 100)
        await wait_until(lambda: entry.parts.bodies.held_bytes == BODY_BYTES)
        writer.close()
        await wait_until(lambda: entry.parts.bodies.held_bytes == 0)
        status, _, _ = await fleet.ask(entry, "/book/1", "POST", body=bytes(BODY_BYTES))
        assert status == 200

    run_scenario(tmp_path, scenario)


def test_client_that_asks_first_is_not_told_to_send_a_refused_body(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *_ = await add_two_desks(fleet)
        entry.parts.bodies.limit_bytes = BODY_BYTES
        _, first = await start_upload(entry)
        await wait_until(lambda: entry.parts.bodies.held_bytes == BODY_BYTES)
        reader, second = await start_upload(entry, extra="Expect: 100-continue\r\n")
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 503")
        first.close()
        second.close()

    run_scenario(tmp_path, scenario)


# TWICE: a node that had not run a request for want of memory seemed to have run it.
def test_node_without_memory_is_passed_over_by_the_sender(tmp_path: Path) -> None:
    async def scenario(fleet: PlatformFleet) -> None:
        entry, *desks = await add_two_desks(fleet)
        full = desks[0].parts.bodies
        full.limit_bytes, full.held_bytes = 1, 1
        for _ in range(4):
            status, _, _ = await fleet.ask(
                entry, "/book/1", "POST", body=bytes(BODY_BYTES)
            )
            assert status == 200
        assert desks[0].backend.arrivals == []

    run_scenario(tmp_path, scenario)
