"""Nodes with the platform adapter in the test's event loop, each at its own IP."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from pathlib import Path

import aiohttp
from aiohttp import web
from testing.live.fleet import free_port
from testing.standins.log_service import application
from testing.standins.log_service import LogService
from testing.standins.platform_backend import HEALTH_PATH
from testing.standins.platform_backend import PlatformBackend
from testing.standins.platform_operator import COLUMNS

from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.decisions.fleet.learned_limit import LearningMode
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.parts import new_fleet_parts
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.model import Address
from _masticspoke.platform.log import keyed_record
from _masticspoke.platform.node import DIALECT
from _masticspoke.platform.node import platform_tree
from _masticspoke.supervise.lifecycle import Lifecycle

HOST = "shop.example"
_HOST_NUMBERS = count()


def _new_host() -> str:
    """Return a loopback address that no other node of the test run has had.

    Addresses with 2 in the third place are left to other stand-ins.
    """
    network, number = divmod(next(_HOST_NUMBERS), 250)
    return f"127.0.{1 + 2 * network}.{2 + number}"


@dataclass
class Node:
    parts: FleetParts
    life: Lifecycle
    task: asyncio.Task[None]
    backend: PlatformBackend

    @property
    def clients(self) -> str:
        return str(self.parts.settings.clients)

    @property
    def control_plane(self) -> str:
        return str(self.parts.settings.control_plane)


@dataclass
class PlatformFleet:
    session: aiohttp.ClientSession
    folder: Path
    runner: web.AppRunner
    log: LogService
    log_port: int = field(default_factory=free_port)
    ports: list[int] = field(default_factory=lambda: [free_port() for _ in range(6)])
    nodes: list[Node] = field(default_factory=list)
    version: int = 0
    ids: count[int] = field(default_factory=count)
    stop_timeout_s: float = 1.0
    revocation_s: float | None = None
    learned_limit: LearningMode = LearningMode.AUTO

    def publish(
        self,
        *rows: list[object],
        checked: tuple[str, ...] = (),
        keys: dict[str, list[str]] | None = None,
        ranks: dict[str, int] | None = None,
        public: tuple[str, ...] = (),
    ) -> None:
        """Publish a configuration to the log; each row is a route.

        :param checked: services with a health check.
        :param keys: keys by organisation; without them no request needs a key.
        :param ranks: priorities of the organisations that have one.
        :param public: names of the routes that need no key.
        """
        self.version += 10
        tenants = {"columns": ["name", "api_keys", "priority"]} | {
            "rows": [
                [name, values, (ranks or {}).get(name)]
                for name, values in (keys or {}).items()
            ]
        }
        value = {
            "version": self.version,
            "routes": {
                "columns": [*COLUMNS, "public"],
                "rows": [[*row, row[0] in public] for row in rows],
            },
            "tenants": None if keys is None else tenants,
            "services": {
                "columns": ["name", "health_check_path"],
                "rows": [[service, HEALTH_PATH] for service in checked],
            },
            "limits": {"max_body_bytes": 65536},
        }
        record = keyed_record("config", json.dumps(value).encode())
        self.log.add(self.log.stream("keyed.op"), [record])

    async def add(self, service: str, zone: str = "z1", **options: object) -> Node:
        """Start a node and its backend server, and send the server's first heartbeat.

        :param options: further arguments of :class:`PlatformBackend`.
        """
        host = _new_host()
        # The log service tells the nodes apart by the address that they call.
        await web.TCPSite(self.runner, host, self.log_port).start()
        clients, nodes, readiness, control_plane, backend_port, metrics = self.ports
        settings = FleetSettings(
            name=f"node-{host}",
            zone=zone,
            service=service,
            clients=Address(host, clients),
            nodes=Address(host, nodes),
            readiness=Address(host, readiness),
            control_plane=Address(host, control_plane),
            backend=Address(host, backend_port),
            metrics=Address(host, metrics),
            seeds=tuple(n.parts.settings.nodes.host for n in self.nodes[:3]),
            log=Address(host, self.log_port),
            budget=BudgetBounds(ratio=1.0, extra=1000.0),
            stop_timeout_s=self.stop_timeout_s,
            revocation_s=self.revocation_s,
            learned_limit=self.learned_limit,
        )
        backend = PlatformBackend(
            host,
            backend_port,
            service,
            f"i-{host}",
            **options,  # type: ignore[arg-type]
        )
        await backend.start()
        node = Node(*self._start(settings), backend=backend)
        self.nodes.append(node)
        await node.life.started()
        assert await backend.announce(self.session, node.control_plane) == 200
        return node

    def _start(
        self, settings: FleetSettings
    ) -> tuple[FleetParts, Lifecycle, asyncio.Task[None]]:
        parts = new_fleet_parts(settings, DIALECT)
        life = Lifecycle()
        body = platform_tree(parts, self.folder / "node.ini")
        return parts, life, asyncio.create_task(body(life))  # type: ignore[arg-type]

    async def restart(self, node: Node) -> None:
        """End a node at once and start it anew; its backend server goes on."""
        node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)
        node.parts, node.life, node.task = self._start(node.parts.settings)
        await node.life.started()

    async def wait_until_synchronised(self) -> None:
        """Wait until every node knows every backend server and the configuration."""

        def synchronised() -> bool:
            return all(
                len(node.parts.registry_state.members.by_address) == len(self.nodes)
                and node.parts.configuration.value is not None
                and node.parts.configuration.value.version == self.version
                for node in self.nodes
            )

        await wait_until(synchronised)

    async def ask(
        self,
        node: Node,
        path: str,
        method: str = "GET",
        timeout_ms: int = 2000,
        body: bytes = b"",
        **headers: str,
    ) -> tuple[int, bytes, aiohttp.ClientResponse]:
        """Send a client's request to a node; return the status, body and response."""
        request_id = f"r{next(self.ids)}"
        sent = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(timeout_ms),
            **headers,
        }
        async with self.session.request(
            method, f"http://{node.clients}{path}", headers=sent, data=body or None
        ) as answer:
            return answer.status, await answer.read(), answer


async def wait_until(condition: Callable[[], bool], timeout_s: float = 5.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def platform_fleet(folder: Path) -> AsyncIterator[PlatformFleet]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        log = LogService()
        # A request whose node is ended while the log delays it is not handled.
        runner = web.AppRunner(
            application(log), shutdown_timeout=0.1, handler_cancellation=True
        )
        await runner.setup()
        fleet = PlatformFleet(session, folder, runner, log)
        try:
            yield fleet
        finally:
            for node in fleet.nodes:
                node.task.cancel()
            await asyncio.gather(*(n.task for n in fleet.nodes), return_exceptions=True)
            for node in fleet.nodes:
                await node.backend.stop()
            await runner.cleanup()


def run_scenario(
    folder: Path, scenario: Callable[[PlatformFleet], Awaitable[None]]
) -> None:
    """Run a scenario with a fleet of its own."""

    async def run() -> None:
        async with platform_fleet(folder) as fleet:
            await scenario(fleet)

    asyncio.run(run())
