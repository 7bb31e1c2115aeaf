"""Start a small fleet of separate processes on loopback.

The live tests, the demo and the benchmarks use it.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

ROOT = Path(__file__).parents[2]
FIRST_PORT = 10_000
PORT_BLOCKS = 44
PORTS_PER_BLOCK = 500


def _hold_block() -> tuple[socket.socket, int]:
    """Return the first port of a block that no other process uses.

    Each process keeps the first port of its block bound until it ends, so that test
    runs beside each other never meet. All blocks are below the ports that the system
    gives to outgoing connections.

    :raises RuntimeError: when all blocks are in use.
    """
    for number in range(PORT_BLOCKS):
        first = FIRST_PORT + (os.getpid() + number) % PORT_BLOCKS * PORTS_PER_BLOCK
        holder = socket.socket()
        try:
            holder.bind(("127.0.0.1", first))
        except OSError:
            holder.close()
        else:
            return holder, first
    raise RuntimeError(f"all {PORT_BLOCKS} blocks of ports are in use")


def _candidate_ports() -> Iterator[int]:
    """Yield ports of this process's block in turn, without end."""
    holder, first = _hold_block()
    with holder:
        while True:
            yield from range(first + 1, first + PORTS_PER_BLOCK)


_PORTS = _candidate_ports()


def free_port() -> int:
    while True:
        port = next(_PORTS)
        with socket.socket() as s, contextlib.suppress(OSError):
            s.bind(("127.0.0.1", port))
            return port


def http(
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 20.0,
) -> tuple[int, bytes]:
    request = urllib.request.Request(url, body, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def wait_until(check: Callable[[], bool], timeout_s: float, description: str) -> None:
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, ValueError):
            if check():
                return
        time.sleep(0.05)
    raise AssertionError(f"timed out after {timeout_s} s: {description}")


@dataclass
class Server:
    """A backend server and its node.

    :param client_port: port of the node for clients.
    :param peer_port: port of the node for other nodes.
    :param backend_port: port of the node for its backend server.
    :param server_port: port of the backend server itself.
    """

    name: str
    service: str
    zone: str
    client_port: int
    peer_port: int
    backend_port: int
    server_port: int
    node: subprocess.Popen[bytes] | None = None
    backend: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.client_port}"

    def status(self) -> dict[str, object]:
        code, body = http(
            "GET", f"http://127.0.0.1:{self.peer_port}/.masticspoke/status"
        )
        assert code == 200, body
        status: dict[str, object] = json.loads(body)["status"]
        return status

    def runs(self) -> dict[str, int]:
        _, body = http("GET", f"http://127.0.0.1:{self.server_port}/runs")
        runs: dict[str, int] = json.loads(body)["runs"]
        return runs


@dataclass
class Fleet:
    """The processes of one run, stopped when the context manager exits.

    Checks that run nodes of two builds side by side subclass it, so its names stay.

    :param settings: text appended to the settings of each node, after its seeds.
    :param node_settings: lines appended to the ``[node]`` section.
    :param log_settings: lines appended to the ``[log]`` section.
    :param extra_processes: other processes to stop at the end.
    """

    folder: Path
    log_port: int = field(default_factory=free_port)
    servers: list[Server] = field(default_factory=list)
    log: subprocess.Popen[bytes] | None = None
    settings: str = ""
    node_settings: str = ""
    log_settings: str = ""
    extra_processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def __enter__(self) -> Fleet:
        self.start_log()
        return self

    def __exit__(self, *exc: object) -> None:
        processes = [self.log, *self.extra_processes]
        processes += [p for s in self.servers for p in (s.node, s.backend)]
        for process in processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    def start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a Python module as a process; append its output to a log file.

        :param name: name of the log file; that of a node begins with ``node-``.
        :param arguments: the module and its command line arguments.
        """
        with (self.folder / f"{name}.log").open("ab") as output:
            return subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=output,
            )

    def start_log(self) -> None:
        self.log = self.start("log", "testing.standins.log_service", str(self.log_port))
        wait_until(lambda: self.log_faults() == 200, 10, "log service starts")

    def log_faults(self, **faults: object) -> int:
        """Set faults of the log stand-in; return the status of its answer."""
        url = f"http://127.0.0.1:{self.log_port}/faults"
        return http("PUT", url, json.dumps(faults).encode())[0]

    def add(self, name: str, service: str, zone: str, **options: object) -> Server:
        ports = [free_port() for _ in range(4)]
        server = Server(name, service, zone, *ports)
        self.servers.append(server)
        self.start_node(server)
        self.start_backend(server, **options)
        return server

    def start_node(self, server: Server) -> None:
        seeds = ", ".join(f"127.0.0.1:{s.peer_port}" for s in self.servers[:3])
        path = self.folder / f"{server.name}.ini"
        path.write_text(
            f"[node]\nname = {server.name}\nzone = {server.zone}\n"
            f"client_address = 127.0.0.1:{server.client_port}\n"
            f"peer_address = 127.0.0.1:{server.peer_port}\n"
            f"backend_address = 127.0.0.1:{server.backend_port}\n"
            f"{self.node_settings}"
            f"[log]\naddress = 127.0.0.1:{self.log_port}\n{self.log_settings}"
            f"[peers]\nseeds = {seeds}\n{self.settings}"
        )
        server.node = self.start(
            f"node-{server.name}", "masticspoke", "node", str(path)
        )

    def start_backend(self, server: Server, **options: object) -> None:
        option_words = [f"{name}={value}" for name, value in options.items()]
        server.backend = self.start(
            f"backend-{server.name}",
            "testing.standins.backend_server",
            str(server.server_port),
            str(server.backend_port),
            server.service,
            *option_words,
        )

    def command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "masticspoke", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def apply(self, catalogue: Path) -> None:
        done = self.command(
            "catalogue", "apply", str(catalogue), "--log", f"127.0.0.1:{self.log_port}"
        )
        assert done.returncode == 0, done.stderr

    def wait_ready(self, version: int = 1, timeout_s: float = 15.0) -> None:
        def ready() -> bool:
            states = [s.status() for s in self.servers]
            return all(
                state["catalogue_version"] == version
                and len(state["members"]) == len(self.servers)  # type: ignore[arg-type]
                for state in states
            )

        wait_until(ready, timeout_s, f"catalogue version {version} and all members")
