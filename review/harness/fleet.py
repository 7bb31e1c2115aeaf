"""A small deployment: nodes as the deploy file starts them, and stand-ins.

Nodes and the log service run as separate processes; backend servers, clients and the
operator are tasks of the script. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shlex
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.request
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = (
    "seed_staleness_s=3,address_reuse_s=2,settle_window_ms=3000,ack_timeout_ms=4000,"
    "catch_up_s=4,drain_timeout_ms=2000,grace_period_s=6,loss_slack_ms=200,"
    "config_propagation_ms=2000,downgrade_slack_ms=250,max_stretch_ms=5000,"
    "retry_budget_ratio=0.2,budget_window_s=10,retry_budget_extra=49,recovery_s=15"
)
ROUTE_COLUMNS = [
    "name",
    "host",
    "path_prefix",
    "route_kind",
    "timeout_ms",
    "target_latency_ms",
    "priority",
    "max_attempts",
    "service",
]
HOST = "shop.example"
HEARTBEAT_S = 1.5


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


@dataclass
class Ports:
    outbound: int
    inbound: int
    readiness: int
    control_plane: int
    application: int
    internal: int
    log: int


def _free_ports(hosts: list[str]) -> Ports:
    chosen: list[int] = []
    while len(chosen) < 7:
        port = random.randint(20_000, 31_000)
        if port not in chosen and all(
            _is_free(h, port) for h in [*hosts, "127.0.0.1", ""]
        ):
            chosen.append(port)
    return Ports(*chosen)


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host or "0.0.0.0", port))
        except OSError:
            return False
    return True


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class Run:
    """A request that a backend server began to work on."""

    request_id: str
    path: str
    caller: str
    at: float
    ended: str = ""


@dataclass
class Backend:
    """Stand-in for a backend server that follows the users' PROTOCOL.md.

    It stops work on a request when its connection closes, as most backends do.

    :param work: returns the seconds that it works on a path.
    :param body: returns the body of its answer to a path.
    """

    record: Record
    service: str
    instance: str
    host: str
    port: int
    zone: str
    slots: int = 20
    work: Callable[[str], float] = lambda path: 0.05
    body: Callable[[str], bytes] = lambda path: b"answer to " + path.encode()
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    state: str = "ready"
    healthy: bool = True
    sequence: int = 0
    runs: list[Run] = field(default_factory=list)
    on_run: Callable[[Run], None] = lambda run: None
    _server: asyncio.Server | None = None
    _beats: asyncio.Task[None] | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._connected, self.host, self.port, limit=2**20, backlog=512
        )

    def beat(self, control_plane: str) -> None:
        """Send a heartbeat every 1.5 s from now on."""
        self._beats = asyncio.create_task(self._beat(control_plane))

    async def _beat(self, control_plane: str) -> None:
        while True:
            await self.announce(control_plane)
            await asyncio.sleep(HEARTBEAT_S)

    def heartbeat(self) -> dict[str, object]:
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def announce(
        self, control_plane: str, heartbeat: dict[str, object] | None = None
    ) -> int:
        """Send a heartbeat; return the status of the answer, 0 if there was none."""
        return await self._call(
            control_plane,
            f"/Instances.Heartbeat/{self.instance}",
            heartbeat or self.heartbeat(),
        )

    async def deregister(self, control_plane: str) -> int:
        self.sequence += 1
        return await self._call(
            control_plane,
            f"/Instances.Deregister/{self.instance}",
            {"sequence": self.sequence, "born": self.born},
        )

    async def _call(
        self, control_plane: str, path: str, document: dict[str, object]
    ) -> int:
        try:
            async with asyncio.timeout(1.0):
                answer = await request(
                    control_plane, "POST", path, {}, json.dumps(document).encode()
                )
        except (OSError, TimeoutError, EOFError) as error:
            self.record(f"{self.instance} {path} {document}: {error!r}")
            return 0
        self.record(f"{self.instance} {path} {document}: {answer.status}")
        return answer.status

    def stop_beating(self) -> None:
        if self._beats is not None:
            self._beats.cancel()

    async def stop(self, *, reset: bool = True) -> None:
        """End: close the listening socket and, unless it goes silent, connections."""
        self.stop_beating()
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        if reset:
            for writer in self._writers:
                writer.transport.abort()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                await self._serve(head, reader, writer)
        except (OSError, EOFError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)

    async def _serve(
        self,
        head: tuple[str, dict[str, str]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        line, headers = head
        await reader.readexactly(int(headers.get("content-length", "0")))
        path = line.split(" ")[1]
        names = {"X-Instance-Id": self.instance}
        if path == "/health":
            well = self.healthy and self.state == "ready"
            write_answer(writer, 200 if well else 503, names, b"")
            return
        request_id = headers.get("x-attempt-id", "")
        expected = headers.get("x-expected-instance", self.instance)
        if expected != self.instance:
            self.record(f"{self.instance} 421 {request_id} {path}: not {expected}")
            write_answer(writer, 421, {**names, "X-Not-Executed": "1"}, b"")
            return
        run = Run(
            request_id, path, headers.get("x-caller-service", ""), time.monotonic()
        )
        self.runs.append(run)
        self.record(
            f"{self.instance} ({self.service}) runs {request_id} {path}"
            f" caller={run.caller} left_ms={headers.get('x-deadline-ms')}"
        )
        self.on_run(run)
        if not await self._work(path, reader, run):
            return
        answer = {
            "X-Attempt-Id": request_id,
            "X-Response-Signature": f"{self.instance}.{request_id}",
            "X-Backend-Load": f"{len(self._tasks)},0,{self.slots}",
        }
        write_answer(writer, 200, answer, self.body(path))
        await writer.drain()
        run.ended = "answered"
        self.record(f"{self.instance} answered {request_id}")

    async def _work(self, path: str, reader: asyncio.StreamReader, run: Run) -> bool:
        """Work; return whether the connection was open all the while."""
        end = time.monotonic() + self.work(path)
        while (left_s := end - time.monotonic()) > 0:
            await asyncio.sleep(min(0.02, left_s))
            if reader.at_eof() or reader.exception() is not None:
                run.ended = "broken off"
                self.record(f"{self.instance} caller closed during {run.request_id}")
                return False
        return True


def write_answer(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
) -> None:
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message; ``None`` at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError("the connection closed within a head") from None
        return None
    line, *rest = data.decode("latin-1").split("\r\n")
    pairs = [header.split(":", 1) for header in rest if header]
    return line, {name.strip().lower(): value.strip() for name, value in pairs}


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one whole answer.

    :raises EOFError: if the connection ends before its end.
    """
    head = await read_head(reader)
    if head is None:
        raise EOFError("the connection closed without an answer")
    line, headers = head
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(line.split(" ")[1]), headers, body)


async def request(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Answer:
    """Send one request on a new connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
    try:
        writer.write(
            encode_request(method, path, {"Host": HOST, **(headers or {})}, body)
        )
        return await read_answer(reader)
    finally:
        writer.transport.abort()


@dataclass
class Node:
    """A node's process, started as the deploy file says."""

    fleet: Fleet
    name: str
    host: str
    zone: str
    service: str
    process: asyncio.subprocess.Process | None = None

    def _at(self, port: int) -> str:
        return f"{self.host}:{port}"

    @property
    def outbound(self) -> str:
        return self._at(self.fleet.ports.outbound)

    @property
    def control_plane(self) -> str:
        return self._at(self.fleet.ports.control_plane)

    @property
    def readiness(self) -> str:
        return self._at(self.fleet.ports.readiness)

    @property
    def settings_path(self) -> Path:
        return self.fleet.folder / f"{self.name}.ini"

    def write_settings(self) -> None:
        """Fill in the template, as the platform does."""
        ports = self.fleet.ports
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "service": self.service,
            "listeners_by_port.outbound": self.outbound,
            "listeners_by_port.inbound": self._at(ports.inbound),
            "listeners_by_port.readiness_address": self.readiness,
            "listeners_by_port.control_plane": self.control_plane,
            "application_address": self._at(ports.application),
            "ip": self.host,
            "internal_port_range.0": str(ports.internal),
            "seed_nodes": ",".join(
                n.control_plane for n in self.fleet.nodes if n is not self
            ),
            "platform.address": f"127.0.0.1:{ports.log}",
            "contract_bounds": BOUNDS,
        }
        template = (REPOSITORY / self.fleet.role["template"]).read_text()
        text = re.sub(r"\{\{([^{}]*)\}\}", lambda m: values[m.group(1)], template)
        temporary = self.settings_path.with_suffix(".new")
        temporary.write_text(text)
        temporary.rename(self.settings_path)

    async def start(self) -> None:
        if self.fleet.stopping:
            return
        self.write_settings()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.fleet.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MASTICSPOKE_SETTINGS": str(self.settings_path),
        }
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.fleet.role["run"]),
                cwd=REPOSITORY,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.fleet.record(f"{self.name} started, service {self.service}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.fleet.record(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1.0):
                return (
                    await request(self.readiness, "GET", "/readiness")
                ).status == 200
        except (OSError, TimeoutError, EOFError):
            return False

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        end = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRunError(f"{self.name} did not become ready")
            await asyncio.sleep(0.02)
        self.fleet.record(f"{self.name} is ready")


class Fleet:
    """The deployment of one case."""

    def __init__(self, record: Record, machines: list[tuple[str, str]]) -> None:
        """Lay out machines, given as zone and service."""
        if not (REPOSITORY / "target/deps/_masticspoke").is_dir():
            raise CannotRunError("target/deps is missing: run the deploy file's build")
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        self.record = record
        self.stopping = False
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        second, third = random.randint(10, 250), random.randint(1, 250)
        hosts = [f"127.{second}.{third}.{n + 1}" for n in range(len(machines))]
        self.ports = _free_ports(hosts)
        self.nodes: list[Node] = []
        for number, (zone, service) in enumerate(machines):
            name = f"sidecar-{zone}-{number + 1}"
            self.nodes.append(Node(self, name, hosts[number], zone, service))
        self.backends: list[Backend] = []
        self.log: asyncio.subprocess.Process | None = None
        self.version = 0

    async def start_log(self) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": f"{REPOSITORY}:{REPOSITORY / 'target/deps'}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "testing.standins.log_service",
            str(self.ports.log),
            cwd=REPOSITORY,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        for _ in range(500):
            try:
                await request(f"127.0.0.1:{self.ports.log}", "GET", "/counts")
                return
            except (OSError, EOFError):
                await asyncio.sleep(0.02)
        raise CannotRunError("the log service did not start")

    async def publish(self, routes: list[list[object]], services: list[str]) -> None:
        """Write the operator's configuration to the store."""
        self.version += 10
        document = {
            "version": self.version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {
                "columns": ["name", "health_check_path"],
                "rows": [[service, "/health"] for service in services],
            },
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1048576,
                "header_timeout_ms": 10000,
                "idle_timeout_ms": 30000,
            },
        }
        record = b"\x06config" + json.dumps(document).encode()
        answer = await request(
            f"127.0.0.1:{self.ports.log}",
            "POST",
            "/log-append?topic=keyed.op&part=0",
            {},
            struct.pack(">I", len(record)) + record,
        )
        if answer.status != 200:
            raise CannotRunError(f"configuration refused: {answer.status}")
        self.record(f"operator: version {self.version} acknowledged")

    def backend(self, node: Node, instance: str, **options: object) -> Backend:
        backend = Backend(
            self.record,
            options.pop("service", node.service),  # type: ignore[arg-type]
            instance,
            node.host,
            options.pop("port", self.ports.application),  # type: ignore[arg-type]
            node.zone,
            **options,  # type: ignore[arg-type]
        )
        self.backends.append(backend)
        return backend

    async def close(self) -> None:
        """End all processes that were started."""
        self.stopping = True
        for backend in self.backends:
            await backend.stop()
        processes = [n.process for n in self.nodes] + [self.log]
        for process in processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(
    folder: Path, case: Callable[[Record], Awaitable[bool]], limit_s: float = 110.0
) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder / "record.txt")

    async def limited() -> bool:
        async with asyncio.timeout(limit_s):
            return await case(record)

    try:
        broken = asyncio.run(limited())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


def set_log_faults(fleet: Fleet, **faults: object) -> None:
    """Set faults of the log service; for scripts that disturb the store."""
    call = urllib.request.Request(
        f"http://127.0.0.1:{fleet.ports.log}/faults",
        json.dumps(faults).encode(),
        method="PUT",
    )
    urllib.request.urlopen(call, timeout=5).read()
