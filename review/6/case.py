"""An upload that runs longer than the header timeout is answered 408: "not run"."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

from fleet2 import Answer
from fleet2 import Backend
from fleet2 import Fleet
from fleet2 import HOST_NAME
from fleet2 import play
from fleet2 import read_answer
from fleet2 import Request
from fleet2 import route
from fleet2 import TROUBLE

# As in the site file: depot-livret works 220 ms with a spread of 0.3 and has bodies of
# 60 kB, 360 kB at most; the site's days have srv_slow with x = 12 and share = 0.4.
WORK_S = 0.22
SPREAD = 0.3
SLOW_X = 12.0
BODY_BYTES = (30_000, 60_000, 120_000, 360_000)
DEADLINE_S = 4.047
# A body arrives in pieces, as over a link with a delay and a small window.
PIECE_BYTES = 20_000
PIECE_S = 0.005
SLOW_S = 9.0
RATE_PER_S = 30.0
SEED = 44


def open_and_send(address: tuple[str, int], start: bytes) -> socket.socket:
    """Connect and send at once, so that the bytes arrive right behind the handshake."""
    connection = socket.create_connection(address, timeout=1.0)
    connection.sendall(start)
    connection.setblocking(False)
    return connection


async def send_upload(
    address: tuple[str, int], target: str, request_id: str, body: bytes
) -> Answer:
    """Send an upload on a new connection; its body takes some milliseconds to arrive."""
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    writer = None
    try:
        async with asyncio.timeout(DEADLINE_S):
            connection = await asyncio.to_thread(
                open_and_send, address, head + body[:PIECE_BYTES]
            )
            reader, writer = await asyncio.open_connection(sock=connection)
            for start in range(PIECE_BYTES, len(body), PIECE_BYTES):
                await asyncio.sleep(PIECE_S)
                writer.write(body[start : start + PIECE_BYTES])
            return await read_answer(reader, "POST")
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError) as error:
        return Answer(0, error=repr(error))
    finally:
        if writer is not None:
            writer.close()


async def case(fleet: Fleet) -> list[str]:
    rng = random.Random(SEED)
    # As in the site's configuration: header_timeout_ms 3,000, idle_timeout_ms 15,000.
    fleet.limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    front = fleet.add_node("front")
    archives = [fleet.add_node("archives") for _ in range(3)]
    slow = fleet.new_backend(archives[0], "i-archives-0", slots=211)
    is_slow = False

    async def answer(
        backend: Backend, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        factor = SLOW_X if is_slow and backend is slow else 1.0
        backend.run_s = WORK_S * factor * rng.lognormvariate(0.0, SPREAD)
        await backend.run(request)
        backend.write(request, writer)
        return True

    backends = [slow] + [
        fleet.new_backend(node, f"i-archives-{number}", slots=211)
        for number, node in enumerate(archives[1:], 1)
    ]
    for backend in backends:
        backend.hook = answer
        await backend.start()
    await fleet.new_backend(front, "i-front").start()
    for node in fleet.nodes:
        await node.start()
    fleet.publish(
        route("put", "upload", "archives", timeout_ms=4047, target_latency_ms=1014),
        services=("front", "archives"),
    )
    await fleet.wait_ready()
    await asyncio.sleep(2.0)

    statuses: dict[str, int] = {}
    ends = False

    async def upload(number: int) -> None:
        request_id = f"u{number}"
        body = rng.randbytes(rng.choice(BODY_BYTES))
        node = fleet.nodes[number % len(fleet.nodes)]
        reply = await send_upload(node.clients, f"/put/{number}", request_id, body)
        statuses[request_id] = reply.status
        fleet.note(f"answered {request_id}: {reply.status} {reply.error}")

    async def client() -> None:
        async with asyncio.TaskGroup() as uploads:
            number = 0
            while not ends:
                number += 1
                uploads.create_task(upload(number))
                await asyncio.sleep(1 / RATE_PER_S)

    traffic = asyncio.create_task(client())
    await asyncio.sleep(2.0)
    is_slow = TROUBLE
    fleet.note(f"i-archives-0 is slow: {is_slow}")
    await asyncio.sleep(SLOW_S)
    is_slow = False
    await asyncio.sleep(1.0)
    ends = True
    await traffic
    await asyncio.sleep(1.0)

    ran = {request.id for backend in backends for _, request in backend.ran}
    return [
        f"REFUSED: {request_id} was answered {status} and has run"
        for request_id, status in statuses.items()
        if status in (408, 421, 429, 503) and request_id in ran
    ]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
