"""A request that crashes each server that runs it is passed on again and again."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path

import fleet as f

SETTLE_S = 3.0  # settle_window_ms
BACK_AFTER_S = 3.0
POISON_EVERY_S = 2.0
LENGTH_S = 40.0
RETRIES = 3
DEADLINE_MS = 5000
CRASH_PATH = "/check/record-13"
IDS = itertools.count()
SERVICES = ["tooling-desk", "inspect-desk"]


class Servers:
    """The backend servers of tooling-desk, which are back some seconds after a crash."""

    def __init__(self, fleet: f.Fleet, record: f.Record) -> None:
        self._fleet = fleet
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()
        self._starts = itertools.count(1)
        self.all: list[f.Backend] = []
        self.crashes: list[float] = []

    async def start(self, node: f.Node) -> f.Backend:
        backend = self._fleet.backend(
            node,
            f"i-tooling-{next(self._starts)}",
            slots=71,
            work=lambda path: 10.0 if path == CRASH_PATH else 0.29,
        )
        backend.on_run = lambda run: self._begin(node, backend, run)
        self.all.append(backend)
        await backend.start()
        return backend

    def _begin(self, node: f.Node, backend: f.Backend, run: f.Run) -> None:
        if run.path == CRASH_PATH:
            task = asyncio.create_task(self._crash(node, backend))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _crash(self, node: f.Node, backend: f.Backend) -> None:
        await asyncio.sleep(0.05)
        self.crashes.append(time.monotonic())
        self._record(f"{backend.instance} crashes")
        await backend.stop()
        await asyncio.sleep(BACK_AFTER_S)
        successor = await self.start(node)
        self._record(f"{successor.instance} starts")
        successor.beat(node.control_plane)


async def case(record: f.Record) -> bool:
    machines = [(f"z{n}", "tooling-desk") for n in (1, 2, 3)]
    machines += [(f"z{n}", "inspect-desk") for n in (1, 2)]
    fleet = f.Fleet(record, machines)
    try:
        return await play(fleet, record)
    finally:
        await fleet.close()


async def play(fleet: f.Fleet, record: f.Record) -> bool:
    await fleet.start_log()
    routes: list[list[object]] = [
        ["check", f.HOST, "/check/", "idempotent", 1200, 1500, 1, 2, "tooling-desk"],
        [
            "order",
            f.HOST,
            "/order/",
            "non_idempotent",
            1500,
            2000,
            1,
            2,
            "tooling-desk",
        ],
    ]
    await fleet.publish(routes, SERVICES)
    servers = Servers(fleet, record)
    entries = fleet.nodes[3:]
    starting = [(node, await servers.start(node)) for node in fleet.nodes[:3]]
    for number, node in enumerate(entries):
        desk = fleet.backend(node, f"i-desk-{number}")
        await desk.start()
        starting.append((node, desk))
    for node, _ in starting:
        await node.start()
    for node, backend in starting:
        await node.wait_ready()
        backend.beat(node.control_plane)
    await asyncio.sleep(2.0)
    orders: dict[str, str] = {}
    tasks = [asyncio.create_task(order_steadily(entries, orders, record))]
    await asyncio.sleep(2.0)
    if f.TROUBLE:
        tasks.append(asyncio.create_task(send_crash_requests(entries, record)))
    await asyncio.sleep(LENGTH_S)
    for task in tasks:
        task.cancel()
    return judge(servers, orders, record)


def judge(servers: Servers, orders: dict[str, str], record: f.Record) -> bool:
    lost = [i for i, outcome in orders.items() if outcome not in ("200", "503", "429")]
    record(f"crashes: {len(servers.crashes)}; orders: {len(orders)}, lost: {len(lost)}")
    if len(servers.crashes) < 3:
        return False
    since = servers.crashes[2] + SETTLE_S
    runs = [r for b in servers.all for r in b.runs if r.path == CRASH_PATH]
    retries = {run.request_id for run in runs if run.at > since}
    record(
        f"retries that reached servers over 3 s after the third crash: {len(retries)}"
    )
    return len(retries) > RETRIES


async def send_crash_requests(entries: list[f.Node], record: f.Record) -> None:
    """The same request again and again, at each machine of one service in turn."""
    async with asyncio.TaskGroup() as requests:
        for number in itertools.count():
            entry = entries[number % len(entries)]
            requests.create_task(
                send(entry, "GET", CRASH_PATH, f"crash-{number}", record)
            )
            await asyncio.sleep(POISON_EVERY_S)


async def order_steadily(
    entries: list[f.Node], orders: dict[str, str], record: f.Record
) -> None:
    async def order(entry: f.Node) -> None:
        request_id = f"r{next(IDS)}"
        outcome = await send(entry, "POST", f"/order/{request_id}", request_id, record)
        orders[request_id] = outcome

    async with asyncio.TaskGroup() as requests:
        for number in itertools.count():
            requests.create_task(order(entries[number % len(entries)]))
            await asyncio.sleep(0.1)


async def send(
    entry: f.Node, method: str, path: str, request_id: str, record: f.Record
) -> str:
    record(f"client sends {request_id} {method} {path}")
    headers = {"X-Attempt-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
    try:
        answer = await f.request(entry.outbound, method, path, headers)
    except (OSError, EOFError) as error:
        record(f"client {request_id}: {error!r}")
        return "no answer"
    record(f"client {request_id}: {answer.status}")
    return str(answer.status)


f.main(Path(__file__).parent, case)
