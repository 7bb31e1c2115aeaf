"""A planned stop of a listener, seen from its clients' connections."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from aiohttp import web
from testing.live.fleet import free_port

from _masticspoke.entry.listener import listener
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.planned_stop import PlannedStop

_STOP_S = 5.0
_SLOW_S = 0.6
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _handle(request: web.BaseRequest) -> web.StreamResponse:
    if request.path == "/slow":
        await asyncio.sleep(_SLOW_S)
    return web.Response(text=request.path)


async def _ask(streams: Streams, path: str) -> bytes:
    """Return all that comes until the answer's body is complete, or the end."""
    reader, writer = streams
    writer.write(f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    found = b""
    while not found.endswith(path.encode()):
        more = await reader.read(4096)
        if not more:
            break
        found += more
    return found


async def _with_listener(
    use: Callable[[Address, Lifecycle], Awaitable[None]],
) -> None:
    address = Address("127.0.0.1", free_port())
    stop = PlannedStop(_STOP_S)
    body = listener(address, _handle, lambda: None, stop, time.monotonic, None, 0.05)
    life = Lifecycle()
    task = asyncio.create_task(body(life))  # type: ignore[arg-type]
    await life.started()
    await use(address, life)
    await asyncio.wait_for(task, _STOP_S)


def test_kept_connection_is_answered_while_another_request_runs() -> None:
    async def use(address: Address, life: Lifecycle) -> None:
        kept = await asyncio.open_connection(address.host, address.port)
        assert b"200" in await _ask(kept, "/first")
        busy = await asyncio.open_connection(address.host, address.port)
        slow = asyncio.create_task(_ask(busy, "/slow"))
        await asyncio.sleep(0.1)
        life.request_stop()
        await asyncio.sleep(0.2)
        answer = await asyncio.wait_for(_ask(kept, "/second"), _SLOW_S / 3)
        assert answer.endswith(b"/second")
        assert b"connection: close" in answer.lower()
        assert (await slow).endswith(b"/slow")

    asyncio.run(_with_listener(use))


def test_idle_connection_is_closed_at_the_end_of_the_stop() -> None:
    async def use(address: Address, life: Lifecycle) -> None:
        reader, _ = await asyncio.open_connection(address.host, address.port)
        life.request_stop()
        assert await asyncio.wait_for(reader.read(1), 1.0) == b""

    asyncio.run(_with_listener(use))


def test_new_connections_are_refused_during_a_stop() -> None:
    async def use(address: Address, life: Lifecycle) -> None:
        busy = await asyncio.open_connection(address.host, address.port)
        slow = asyncio.create_task(_ask(busy, "/slow"))
        await asyncio.sleep(0.1)
        life.request_stop()
        await asyncio.sleep(0.2)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(address.host, address.port)
        await slow

    asyncio.run(_with_listener(use))
