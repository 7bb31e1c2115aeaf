"""A small deployment on loopback for the cases 6 to 10.

Nodes are separate processes, started with the command of deploy/system.toml. The store,
the backends and the clients are stand-ins in the process of the case. The store is the
project's own stand-in (testing/standins/log_service.py).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
BOUNDS = (
    "seed_staleness_s=3,address_reuse_s=2,settle_window_ms=3000,ack_timeout_ms=4000,"
    "catch_up_s=4,drain_timeout_ms=2000,grace_period_s=6,loss_slack_ms=200,"
    "config_propagation_ms=2000,downgrade_slack_ms=250,max_stretch_ms=5000,"
    "retry_budget_ratio=0.2,budget_window_s=10,retry_budget_extra=49,recovery_s=15"
)
COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "route_kind",
    "timeout_ms",
    "target_latency_ms",
    "priority",
    "weighted_clusters",
    "max_attempts",
    "service",
]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be played; the exit code is 2."""


@dataclass
class Request:
    """A request as a backend or a proxy received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        return self.headers.get("x-attempt-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request:
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    length = int(headers.get("content-length", "0"))
    return Request(method, target, headers, await reader.readexactly(length))


@dataclass
class Answer:
    """An answer as a client received it; status 0 stands for none."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


async def read_answer(reader: asyncio.StreamReader, method: str) -> Answer:
    """Read an answer strictly; raise an error if it breaks off or is none."""
    while True:
        first, headers = await read_head(reader)
        match = re.fullmatch(r"HTTP/1\.[01] (\d{3})( .*)?", first)
        if match is None:
            raise ValueError(f"no status line: {first!r}")
        status = int(match[1])
        if not 100 <= status < 200:
            break
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return Answer(status, headers, body)
    if "content-length" in headers:
        return Answer(
            status, headers, await reader.readexactly(int(headers["content-length"]))
        )
    return Answer(status, headers, await reader.read())


async def ask(
    address: tuple[str, int],
    method: str,
    target: str,
    request_id: str,
    timeout_s: float = 6.0,
    body: bytes = b"",
    **headers: str,
) -> Answer:
    """Send a client's request on a new connection."""
    fields = {
        "Host": HOST_NAME,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(int(timeout_s * 1000)),
        **headers,
    }
    if body or method in ("POST", "PUT"):
        fields["Content-Length"] = str(len(body))
    text = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s + 0.5):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode() + body)
            return await read_answer(reader, method)
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError) as error:
        return Answer(0, error=repr(error))
    finally:
        if writer is not None:
            writer.close()


@dataclass
class Backend:
    """One incarnation of a backend: raw HTTP/1.1, as the users' PROTOCOL.md tells.

    :param answer: writes the answer; returns whether the connection is kept.
    :param ran: the requests that it ran, with the time of each start.
    """

    host: str
    port: int
    service: str
    instance: str
    fleet: Fleet
    born: int
    control_plane: tuple[str, int] = ("", 0)
    zone: str = "z1"
    slots: int = 20
    run_s: float = 0.02
    state: str = "ready"
    sequence: int = 0
    ran: list[tuple[float, Request]] = field(default_factory=list)
    running: int = 0
    server: asyncio.Server | None = None
    beats: asyncio.Task[None] | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    hook: Callable[[Backend, Request, asyncio.StreamWriter], Awaitable[bool]] | None = (
        None
    )

    async def start(self, beats: bool = True) -> None:
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        if beats:
            self.beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Exit: the listener and all connections close at once."""
        if self.beats is not None:
            self.beats.cancel()
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _beat(self) -> None:
        while True:
            with contextlib.suppress(Exception):
                await self.heartbeat()
            await asyncio.sleep(1.5)

    def beat_body(self) -> dict[str, object]:
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def heartbeat(self, body: dict[str, object] | None = None) -> int:
        path = f"/Instances.Heartbeat/{self.instance}"
        return await post(self.control_plane, path, body or self.beat_body())

    async def deregister(self) -> int:
        self.sequence += 1
        path = f"/Instances.Deregister/{self.instance}"
        body = {"sequence": self.sequence, "born": self.born}
        return await post(self.control_plane, path, body)

    def head(self, request: Request, status: str = "200 OK") -> str:
        return (
            f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request.id}\r\n"
            f"X-Response-Signature: {self.instance}.{request.id}\r\n"
            f"X-Backend-Load: {self.running},0,{self.slots}\r\n"
        )

    def body(self, request: Request) -> bytes:
        return f"{self.instance} {request.id} {request.target}\n".encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while await self._serve_one(await read_request(reader), writer):
                pass
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve_one(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.target == "/health":
            ok = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(
                f"HTTP/1.1 {ok}\r\nX-Instance-Id: {self.instance}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        expected = request.headers.get("x-expected-instance", self.instance)
        if expected != self.instance:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {request.id}\r\n"
                f"X-Instance-Id: {self.instance}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        if self.hook is not None:
            return await self.hook(self, request, writer)
        await self.run(request)
        self.write(request, writer)
        return True

    async def run(self, request: Request) -> None:
        self.ran.append((time.monotonic(), request))
        self.fleet.note(f"ran {request.method} {request.target} id={request.id} "
                        f"instance={self.instance}")
        self.running += 1
        try:
            await asyncio.sleep(self.run_s)
        finally:
            self.running -= 1

    def write(self, request: Request, writer: asyncio.StreamWriter) -> None:
        body = self.body(request)
        head = self.head(request) + f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)


async def post(address: tuple[str, int], path: str, body: dict[str, object]) -> int:
    """Make a call of a backend to its node; 0 stands for no answer within a second."""
    data = json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f"POST {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode() + data
            )
            return (await read_answer(reader, "POST")).status
    except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
        return 0
    finally:
        if writer is not None:
            writer.close()


@dataclass
class Node:
    """A node process and its addresses."""

    name: str
    host: str
    service: str
    settings: Path
    ports: dict[str, int]
    output: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def clients(self) -> tuple[str, int]:
        return self.host, self.ports["outbound"]

    @property
    def control_plane(self) -> tuple[str, int]:
        return self.host, self.ports["control_plane"]

    async def start(self) -> None:
        variables = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["MASTICSPOKE_SETTINGS"] = str(self.settings)
        with self.output.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-m", "_masticspoke.platform",
                cwd=ROOT, env=variables, stdout=output, stderr=output,
            )

    def signal(self, number: int) -> None:
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        assert self.process is not None
        await self.process.wait()

    async def is_ready(self) -> bool:
        address = self.host, self.ports["readiness"]
        return (await ask(address, "GET", "/readiness", "", 1.0)).status == 200


@dataclass
class Fleet:
    folder: Path
    nodes: list[Node] = field(default_factory=list)
    backends: list[Backend] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    log: object = None
    runner: object = None
    store: tuple[str, int] = ("", 0)
    started: float = field(default_factory=time.monotonic)
    version: int = 0
    bounds: str = BOUNDS
    limits: dict[str, int] = field(
        default_factory=lambda: {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 20000,
        }
    )
    network: str = field(
        default_factory=lambda: f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
    )
    ports: dict[str, int] = field(default_factory=dict)

    def note(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.started:8.3f} {text}")

    async def open(self) -> None:
        sys.path.insert(0, str(ROOT))
        from aiohttp import web
        from testing.standins.log_service import LogService
        from testing.standins.log_service import application

        names = ("outbound", "inbound", "readiness", "control_plane", "metrics", "backend")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.log = LogService()
        self.runner = web.AppRunner(application(self.log), shutdown_timeout=0.1)
        await self.runner.setup()
        self.store = ("127.0.0.1", free_ports(1)[0])
        await web.TCPSite(self.runner, *self.store).start()

    def publish(
        self,
        *routes: dict[str, object],
        services: tuple[str, ...],
        keys: dict[str, list[str]] | None = None,
    ) -> bytes:
        """Write a configuration to the store, as the operator does; return the record.

        :param keys: keys by tenant; without them no request needs a key.
        """
        from testing.standins.log_service import LogService

        assert isinstance(self.log, LogService)
        self.version += 10
        rows = [[route.get(column) for column in COLUMNS] for route in routes]
        value = {
            "version": self.version,
            "routes": {"columns": COLUMNS, "rows": rows},
            "services": {
                "columns": ["name", "health_check_path"],
                "rows": [[service, "/health"] for service in services],
            },
            "limits": self.limits,
        }
        if keys is not None:
            tenants = {"columns": ["name", "api_keys"], "rows": [*keys.items()]}
            value["tenants"] = tenants
        key = b"config"
        record = bytes([len(key)]) + key + json.dumps(value).encode()
        self.log.add(self.log.stream("keyed.op"), [record])
        return record

    def add_node(
        self, service: str, zone: str = "z1", seeds: list[str] | None = None
    ) -> Node:
        """Add a node that is not started yet.

        :param seeds: control-plane addresses; those of the first three nodes if absent.
        """
        host = f"{self.network}.{10 + len(self.nodes)}"
        name = f"node-{len(self.nodes)}"
        if seeds is None:
            seeds = [f"{n.host}:{self.ports['control_plane']}" for n in self.nodes[:3]]
        values = {
            "node_name": name,
            "zone": zone,
            "service": service,
            "listeners_by_port.outbound": f"{host}:{self.ports['outbound']}",
            "listeners_by_port.inbound": f"{host}:{self.ports['inbound']}",
            "listeners_by_port.readiness_address": f"{host}:{self.ports['readiness']}",
            "listeners_by_port.control_plane": f"{host}:{self.ports['control_plane']}",
            "application_address": f"{host}:{self.ports['backend']}",
            "ip": host,
            "internal_port_range.0": str(self.ports["metrics"]),
            "seed_nodes": ",".join(seeds),
            "platform.address": f"{self.store[0]}:{self.store[1]}",
            "contract_bounds": self.bounds,
            "limits.memory_limit_mb": "300",
        }
        template = (ROOT / "deploy" / "node.ini").read_text()
        text = re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m[1]], template)
        settings = self.folder / f"{name}.ini"
        settings.write_text(text)
        node = Node(name, host, service, settings, self.ports, self.folder / f"{name}.log")
        self.nodes.append(node)
        return node

    def new_backend(self, node: Node, instance: str, **options: object) -> Backend:
        backend = Backend(
            node.host,
            self.ports["backend"],
            node.service,
            instance,
            self,
            int(time.time() * 1000),
            node.control_plane,
            **options,  # type: ignore[arg-type]
        )
        self.backends.append(backend)
        return backend

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        until = time.monotonic() + timeout_s
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > until:
                raise CouldNotRunError("the nodes did not become ready")
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        for backend in self.backends:
            await backend.stop()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.signal(signal.SIGCONT)
                await node.kill()
        if self.runner is not None:
            await self.runner.cleanup()


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 1500,
        "priority": 1,
        "max_attempts": 2,
        "service": service,
        **more,
    }


def play(case: Callable[[Fleet], Awaitable[list[str]]], folder: Path) -> int:
    """Play a case, write ``record.txt`` and return the exit code.

    :param case: returns a line for each break of the rule.
    """

    async def run() -> list[str]:
        work = Path(tempfile.mkdtemp(prefix="review-"))
        fleet = Fleet(work)
        breaks: list[str] = []
        try:
            async with asyncio.timeout(115):
                await fleet.open()
                breaks = await case(fleet)
            return breaks
        finally:
            await fleet.close()
            fleet.lines += [f"BROKEN {line}" for line in breaks]
            if os.environ.get("NODE_LOGS"):
                for node in fleet.nodes:
                    fleet.lines.append(f"== {node.name}")
                    fleet.lines += node.output.read_text(errors="replace").splitlines()
            (folder / "record.txt").write_text("\n".join(fleet.lines) + "\n")
            shutil.rmtree(work, ignore_errors=True)

    try:
        breaks = asyncio.run(run())
    except Exception as error:  # whatever else fails, the case could not run
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return 2
    for line in breaks:
        print(line)
    print("broken" if breaks else "held")
    return 1 if breaks else 0
