"""A leaving that was acknowledged is forgotten when an earlier heartbeat comes late."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from fleet2 import ask
from fleet2 import CouldNotRunError
from fleet2 import Fleet
from fleet2 import play
from fleet2 import route
from fleet2 import TROUBLE

DRAIN_S = 2.0
# A heartbeat "may arrive seconds late".
LATE_S = 2.0
# After the acknowledgement the backend serves for the drain timeout "and a little
# longer (at times many seconds)".
SERVES_S = DRAIN_S + 4.0


async def case(fleet: Fleet) -> list[str]:
    front, desk, other = (fleet.add_node(s) for s in ("front", "desk", "desk"))
    first = fleet.new_backend(desk, "i-desk-1")
    for backend in (
        fleet.new_backend(front, "i-front"),
        first,
        fleet.new_backend(other, "i-desk-2", run_s=0.2),
    ):
        await backend.start()
    for node in fleet.nodes:
        await node.start()
    fleet.publish(
        route("read", "idempotent", "desk"),
        route("book", "non_idempotent", "desk"),
        services=("front", "desk"),
    )
    await fleet.wait_ready()
    await asyncio.sleep(2.0)

    sent_at: dict[str, float] = {}
    failed: list[str] = []
    ends = False

    async def request(number: int) -> None:
        request_id = f"r{number}"
        method, name = ("POST", "book") if number % 2 else ("GET", "read")
        sent_at[request_id] = time.monotonic()
        reply = await ask(front.clients, method, f"/{name}/{number}", request_id, 3.0)
        if reply.status != 200:
            failed.append(request_id)
        fleet.note(f"answered {request_id}: {reply.status} {reply.error}")

    async def client() -> None:
        async with asyncio.TaskGroup() as requests:
            number = 0
            while not ends:
                number += 1
                requests.create_task(request(number))
                await asyncio.sleep(0.02)

    traffic = asyncio.create_task(client())
    await asyncio.sleep(1.0)

    # The first backend leaves in the usual way, and another one starts in its place.
    first.state = "draining"
    if await first.heartbeat() != 200 or first.beats is None:
        raise CouldNotRunError("the first leaving was not acknowledged")
    first.beats.cancel()
    await asyncio.sleep(DRAIN_S + 0.2)
    await first.deregister()
    await first.stop()
    await asyncio.sleep(0.5)
    second = fleet.new_backend(desk, "i-desk-3", run_s=0.2)
    await second.start(beats=False)
    fleet.note("i-desk-3 started and sends its first heartbeat")
    heartbeat = second.beat_body()

    async def deliver() -> None:
        await asyncio.sleep(LATE_S if TROUBLE else 0.0)
        status = await second.heartbeat(heartbeat)
        fleet.note(f"the first heartbeat of i-desk-3 arrived: {status}")

    delivery = asyncio.create_task(deliver())
    await asyncio.sleep(1.0)
    # It is taken away again. It never reports draining, but deregisters first.
    second.state = "draining"
    if await second.deregister() != 200:
        raise CouldNotRunError("the second leaving was not acknowledged")
    acknowledged_at = time.monotonic()
    fleet.note("the leaving of i-desk-3 was acknowledged")
    await asyncio.sleep(SERVES_S)
    await second.stop()
    fleet.note("i-desk-3 has ended")
    await delivery
    ends = True
    await traffic

    bound = acknowledged_at + DRAIN_S
    late = [r.id for at, r in second.ran if at > bound]
    taken_late = [i for i in late if sent_at[i] > bound]
    lost = [i for i in late if i in failed]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached i-desk-3 later than {DRAIN_S} s after its "
        f"leaving was acknowledged; {len(taken_late)} of them were sent later than that. "
        f"{len(lost)} were lost when it ended: {lost}"
    ]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
