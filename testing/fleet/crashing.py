"""Backend servers that crash while they run certain requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field

from testing.fleet.platform_fleet import Node
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import wait_until
from testing.standins.platform_backend import PlatformBackend

CRASH_PATH = "/read/crash"


@dataclass
class CrashingServers:
    """Ends a backend server when it runs :data:`CRASH_PATH`, and starts its successor.

    :param crashed_at: time of each crash, on the event loop's clock.
    :param runs: id and time of each request for that path that began to run.
    """

    fleet: PlatformFleet
    down_s: float = 0.2
    crashed_at: list[float] = field(default_factory=list)
    runs: list[tuple[str, float]] = field(default_factory=list)

    @contextmanager
    def watch(self, *nodes: Node) -> Iterator[None]:
        tasks = [asyncio.create_task(self._watch(node)) for node in nodes]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()

    async def _watch(self, node: Node) -> None:
        while True:
            await wait_until(lambda: bool(self._crash_runs(node)), 60.0)
            await asyncio.sleep(0.02)
            now = asyncio.get_running_loop().time()
            self.runs += [(run, now) for run in self._crash_runs(node)]
            await crash(node)
            self.crashed_at.append(now)
            await asyncio.sleep(self.down_s)
            await start_successor(self.fleet, node)

    def _crash_runs(self, node: Node) -> list[str]:
        arrivals = node.backend.arrivals
        return [a.request_id for a in arrivals if a.path == CRASH_PATH]


async def crash(node: Node) -> None:
    """Close the listening socket of a node's backend server, and all connections."""
    runner = node.backend.runner
    assert runner is not None
    assert runner.server is not None
    for site in list(runner.sites):
        await site.stop()
    for connection in runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()
    await node.backend.stop()


async def start_successor(fleet: PlatformFleet, node: Node) -> None:
    """Start the next incarnation of a node's backend server, and announce it."""
    old = node.backend
    name, _, number = old.instance.partition("_")
    node.backend = PlatformBackend(
        old.host,
        old.port,
        old.service,
        f"{name}_{int(number or 0) + 1}",
        run_s=old.run_s,
        slots=old.slots,
        born=old.born + 1_000,
    )
    await node.backend.start()
    assert await node.backend.announce(fleet.session, node.control_plane) == 200
