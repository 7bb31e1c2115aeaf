"""Both front ends behind one interface: send requests, observe backend servers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import count
from pathlib import Path

import aiohttp
from testing.fleet.platform_fleet import HOST
from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import platform_fleet
from testing.live.fleet import Fleet
from testing.live.fleet import ROOT
from testing.standins.platform_backend import LONG_BODY

READ = "/read/"
LONG = "/long/"
SLOW = "/slow/"
SHED = "/shed/"
SLOW_RUN_S = 1.5
MAX_SENDS = 3
_CATALOGUE = ROOT / "examples" / "kerala-south.ini"
_NUMBERS = count()


@dataclass(frozen=True)
class BackendCounts:
    """Counts over all backend servers.

    :param received: received requests, including those that were shed.
    :param running: requests that run now.
    """

    received: int
    running: int


@dataclass(frozen=True)
class Answer:
    status: int
    body: bytes


@dataclass(frozen=True)
class FrontEnd:
    """A front end under test.

    :param ask: sends a request whose kind is one of the paths above, with a deadline in
        seconds.
    :param backend_counts: returns the current counts of the backend servers.
    :param forwarded_deadline_s: returns the deadline that the backend server received
        with the request of this answer.
    :param long_body: the expected body of an answer to ``LONG``.
    """

    ask: Callable[[str, float], Awaitable[Answer]]
    backend_counts: Callable[[], Awaitable[BackendCounts]]
    forwarded_deadline_s: Callable[[Answer], float]
    long_body: bytes


async def _fetch(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> Answer:
    async with session.get(url, headers=headers) as answer:
        return Answer(answer.status, await answer.read())


@asynccontextmanager
async def product(folder: Path) -> AsyncIterator[FrontEnd]:
    """Start the product's own front end: processes, INI settings and a catalogue."""
    size = len(LONG_BODY)
    path_by_kind = {
        READ: "/batches/1",
        LONG: f"/batches/1?size={size}",
        SLOW: f"/batches/1?latency_ms={SLOW_RUN_S * 1000:.0f}",
        SHED: "/archives/1",
    }
    with Fleet(folder) as fleet:
        front = fleet.add("front", "inspect-desk", "kochi-a")
        servers = [fleet.add(name, "batch-board", "kochi-a") for name in "bc"]
        servers += [fleet.add(name, "audit-vault", "kochi-a", shed=1) for name in "de"]
        fleet.apply(_CATALOGUE)
        fleet.wait_ready()
        async with aiohttp.ClientSession() as session:

            async def ask(kind: str, deadline_s: float) -> Answer:
                headers = {"Masticspoke-Deadline-Ms": f"{deadline_s * 1000:.0f}"}
                return await _fetch(session, front.url + path_by_kind[kind], headers)

            async def backend_counts() -> BackendCounts:
                reports = []
                for server in servers:
                    url = f"http://127.0.0.1:{server.server_port}/runs"
                    reports.append(json.loads((await _fetch(session, url, {})).body))
                received = sum(report["served"] + report["shed"] for report in reports)
                return BackendCounts(
                    received, sum(report["running"] for report in reports)
                )

            yield FrontEnd(
                ask, backend_counts, _product_deadline_s, LONG_BODY_OF_PRODUCT
            )


def _product_deadline_s(answer: Answer) -> float:
    headers = json.loads(answer.body)["headers"]
    return int(headers["Masticspoke-Deadline-Ms"]) / 1000


def _product_body(size: int) -> bytes:
    whole = bytes(range(251)) * (size // 251 + 1)
    return whole[:size]


LONG_BODY_OF_PRODUCT = _product_body(len(LONG_BODY))


@asynccontextmanager
async def platform(folder: Path) -> AsyncIterator[FrontEnd]:
    """Start the front end of the users' platform."""

    def route(path: str, service: str) -> list[object]:
        route_kind = "idempotent"
        return [path, HOST, path, route_kind, 5000, 1000, 1, None, MAX_SENDS, service]

    async with platform_fleet(folder) as fleet:
        services = {READ: "desk", LONG: "vault", SLOW: "board", SHED: "shop"}
        fleet.publish(*(route(path, name) for path, name in services.items()))
        entry = await fleet.add("front")
        nodes: list[Node] = []
        for path, name in services.items():
            run_s = SLOW_RUN_S if path == SLOW else 0.0
            nodes += [await fleet.add(name, run_s=run_s) for _ in range(2)]
        await fleet.wait_until_synchronised()
        for node in nodes:
            permanent_fault = {"vault": "long", "shop": "shed"}.get(
                node.backend.service
            )
            node.backend.faults = [permanent_fault] * 20 if permanent_fault else []

        async def ask(kind: str, deadline_s: float) -> Answer:
            timeout_ms = int(deadline_s * 1000)
            status, body, _ = await fleet.ask(entry, kind, timeout_ms=timeout_ms)
            return Answer(status, body)

        async def backend_counts() -> BackendCounts:
            received = sum(n.backend.requests for n in nodes)
            return BackendCounts(received, sum(n.backend.running for n in nodes))

        def forwarded_deadline_s(answer: Answer) -> float:
            (arrival,) = [a for n in nodes for a in n.backend.arrivals]
            return arrival.deadline_ms / 1000

        yield FrontEnd(ask, backend_counts, forwarded_deadline_s, LONG_BODY)


async def wait_until_idle(front_end: FrontEnd, timeout_s: float) -> None:
    """Wait until no backend server runs a request."""
    async with asyncio.timeout(timeout_s):
        while (await front_end.backend_counts()).running:
            await asyncio.sleep(0.02)
