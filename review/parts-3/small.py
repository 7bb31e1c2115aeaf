"""A small deployment for the scripts of review 3: store, backends, clients, nodes.

The store, the backend servers and the clients are stand-ins that follow PROTOCOL.md;
they run in the process of the script. The nodes are the project's own program, started
with the command and the template of deploy/system.toml. Only the standard library is
used. Each machine has a loopback address of its own; all machines have the same ports.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = (
    "seed_staleness_s=3,address_reuse_s=2,settle_window_ms=3000,ack_timeout_ms=4000,"
    "catch_up_s=4,drain_timeout_ms=2000,grace_period_s=6,loss_slack_ms=200,"
    "config_propagation_ms=2000,downgrade_slack_ms=250,max_stretch_ms=5000,"
    "retry_budget_ratio=0.2,budget_window_s=10,retry_budget_extra=49,recovery_s=15"
)


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def say(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:9.3f} s  {text}\n")
        self._file.flush()


# ---------------------------------------------------------------- HTTP


class Request:
    def __init__(self, method, target, headers, body, at):
        self.method, self.target = method, target
        self.headers, self.body, self.at = headers, body, at


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunked(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


async def read_request(reader):
    try:
        start, headers = await read_head(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    at = time.monotonic()
    method, target, _ = start.split(" ", 2)
    body = b""
    if "transfer-encoding" in headers:
        body = await read_chunked(reader)
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body, at)


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    @property
    def signature(self):
        return self.headers.get("x-response-signature", "")


async def read_answer(reader):
    """Return an answer; raise IncompleteReadError or ConnectionError if it is cut."""
    while True:
        start, headers = await read_head(reader)
        status = int(start.split(" ")[1])
        if status >= 200:
            break
    if "transfer-encoding" in headers:
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(status, headers, body)


# ---------------------------------------------------------------- store


class Store:
    """The platform's store: a log with topics, as PROTOCOL.md describes it."""

    def __init__(self, record):
        self.record = record
        self.logs = {}
        self.changed = asyncio.Condition()
        self.epochs = {}
        self.silent = False

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)

    async def put(self, topic, key, value):
        async with self.changed:
            data = bytes([len(key)]) + key.encode() + value
            self.logs.setdefault(topic, []).append(data)
            self.changed.notify_all()

    async def configure(self, configuration):
        await self.put("keyed.op", "config", json.dumps(configuration).encode())
        self.record.say(f"operator: version {configuration['version']} acknowledged")

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                path, _, query = request.target.partition("?")
                fields = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                answer = await self._answer(path, fields, request.body)
                if self.silent:
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query, body):
        topic = query.get("topic", "")
        log = self.logs.setdefault(topic, [])
        if path == "/log-append":
            await asyncio.sleep(0.004)
            key = (topic, query.get("producer"))
            epoch = int(query.get("epoch", 0))
            if query.get("producer") and epoch < self.epochs.get(key, 0):
                return answer_bytes(409, {}, b'{"why":"fenced"}')
            self.epochs[key] = epoch
            async with self.changed:
                offset, position = len(log), 0
                while position < len(body):
                    (length,) = struct.unpack_from(">I", body, position)
                    log.append(body[position + 4 : position + 4 + length])
                    position += 4 + length
                self.changed.notify_all()
            reply = {"offset": offset, "range_end": len(log)}
            return answer_bytes(200, {}, json.dumps(reply).encode())
        if path == "/log-read":
            start, wait_s = int(query["from"]), int(query.get("wait_timeout_ms", 0))
            async with self.changed:
                try:
                    async with asyncio.timeout(wait_s / 1000):
                        await self.changed.wait_for(lambda: len(log) > start)
                except TimeoutError:
                    pass
            data = struct.pack(">QQ", len(log), 0)
            data += b"".join(struct.pack(">I", len(r)) + r for r in log[start:])
            return answer_bytes(200, {}, data)
        if path == "/log-newest":
            newest = {}
            for offset, record in enumerate(log):
                end = 1 + record[0]
                newest[record[1:end].decode()] = (record[end:], offset)
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in newest.items()
                if v
            ]
            reply = {"items": items, "has_more": False, "range_end": len(log)}
            return answer_bytes(200, {}, json.dumps(reply).encode())
        return answer_bytes(404, {}, b"{}")


# ---------------------------------------------------------------- backend servers


class Backend:
    """A sound backend server; ``work`` and ``faulty`` change what it does.

    :param work: returns seconds of work, status and body of a request.
    :param faulty: writes the answer in place of the server if it returns True.
    """

    def __init__(self, record, machine, service, slots, work, faulty=None):
        self.record, self.machine, self.service = record, machine, service
        self.slots, self.work, self.faulty = slots, work, faulty
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.writers = set()
        # One entry for each run: request id, start, end (or None), status.
        self.runs = []

    async def start(self):
        host, port = self.machine.ip, self.machine.ports["application"]
        self.server = await asyncio.start_server(self._serve, host, port)
        self.beats = asyncio.create_task(self._beat())

    async def crash(self):
        """End like a killed process: all connections break, the port is closed."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def start_again(self):
        """Start a new incarnation under a new id."""
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start()

    async def _beat(self):
        while True:
            self.sequence += 1
            state = {
                "service": self.service,
                "address": f"{self.machine.ip}:{self.machine.ports['application']}",
                "zone": self.machine.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "warmup_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            }
            try:
                await call(
                    self.machine.ip,
                    self.machine.ports["control_plane"],
                    "POST",
                    f"/Instances.Heartbeat/{self.id}",
                    {"Content-Type": "application/json"},
                    json.dumps(state).encode(),
                    1.0,
                )
                await asyncio.sleep(1.5)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.3)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if request.target == "/health":
                    headers = {"X-Instance-Id": self.id}
                    writer.write(answer_bytes(200, headers, b""))
                    continue
                attempt = request.headers.get("x-attempt-id")
                expected = request.headers.get("x-expected-instance", self.id)
                if attempt is None or expected != self.id:
                    status = 400 if attempt is None else 421
                    headers = {"X-Instance-Id": self.id, "X-Not-Executed": "1"}
                    writer.write(answer_bytes(status, headers, b""))
                    continue
                if self.running >= self.slots:
                    headers = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
                    writer.write(answer_bytes(503, headers, b""))
                    continue
                await self._run(request, attempt, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, request, attempt, reader, writer):
        """Run a request; drop it when its connection closes."""
        seconds, status, body = self.work(request)
        deadline_s = int(request.headers.get("x-deadline-ms", 30000)) / 1000
        if seconds > deadline_s:
            seconds, status, body = deadline_s, 504, b""
        run = [attempt, time.monotonic(), None, status]
        self.runs.append(run)
        self.running += 1
        deadline_ms = request.headers.get("x-deadline-ms")
        self.record.say(
            f"backend {self.service}: runs {attempt} {request.target}, "
            f"X-Deadline-Ms {deadline_ms}"
        )
        try:
            end = time.monotonic() + seconds
            while (left_s := end - time.monotonic()) > 0:
                await asyncio.sleep(min(left_s, 0.02))
                if reader.at_eof() or writer.is_closing():
                    run[3] = "dropped"
                    self.record.say(f"backend {self.service}: drops {attempt}")
                    raise ConnectionResetError
        finally:
            self.running -= 1
            run[2] = time.monotonic()
        signature = f"sig.{attempt}.{status}"
        headers = {"X-Attempt-Id": attempt, "X-Response-Signature": signature}
        self.record.say(f"backend {self.service}: answers {attempt} with {status}")
        if self.faulty is not None and await self.faulty(
            self, request, status, headers, body, writer
        ):
            return
        writer.write(answer_bytes(status, headers, body))
        await writer.drain()


# ---------------------------------------------------------------- machines and nodes


class Machine:
    def __init__(self, number, ports, ip):
        self.number, self.ports, self.ip = number, ports, ip
        self.zone = "kochi-a"
        self.process = None


class Deployment:
    """Machines with one node each, beside a store."""

    def __init__(self, folder, machines):
        self.folder = Path(folder)
        self.record = Record(self.folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="masticspoke-"))
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        names = (
            "inbound outbound readiness_address control_plane application metrics store"
        ).split()
        self.ports = dict(zip(names, free_ports(f"{net}.1", len(names)), strict=True))
        self.machines = [
            Machine(number, self.ports, f"{net}.{number}")
            for number in range(1, machines + 1)
        ]
        self.store_host = f"{net}.251"
        self.store = Store(self.record)

    async def start_store(self):
        await self.store.start(self.store_host, self.ports["store"])

    def settings(self, machine, service):
        ip, ports = machine.ip, machine.ports
        fields = {
            "node_name": f"sidecar-kochi-a-{machine.number}",
            "zone": machine.zone,
            "service": service,
            "listeners_by_port.outbound": f"{ip}:{ports['outbound']}",
            "listeners_by_port.inbound": f"{ip}:{ports['inbound']}",
            "listeners_by_port.readiness_address": f"{ip}:{ports['readiness_address']}",
            "listeners_by_port.control_plane": f"{ip}:{ports['control_plane']}",
            "application_address": f"{ip}:{ports['application']}",
            "ip": ip,
            "internal_port_range.0": str(ports["metrics"]),
            "seed_nodes": "",
            "platform.address": f"{self.store_host}:{ports['store']}",
            "contract_bounds": BOUNDS,
            "limits.memory_limit_mb": "300",
        }
        template = (ROOT / "deploy/node.ini").read_text()
        return re.sub(r"\{\{([^}]+)\}\}", lambda m: fields[m[1]], template)

    async def start_node(self, machine, service):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split()
        dependencies = ROOT / "target/deps"
        if not dependencies.is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        path = self.temporary / f"node-{machine.number}.ini"
        path.write_text(self.settings(machine, service))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(dependencies),
            "PYTHONDONTWRITEBYTECODE": "1",
            "MASTICSPOKE_SETTINGS": str(path),
        }
        log = (self.temporary / f"node-{machine.number}.log").open("ab")
        machine.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()

    async def wait_ready(self, machine, timeout_s=20.0):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                answer = await call(
                    machine.ip,
                    self.ports["readiness_address"],
                    "GET",
                    "/readiness",
                    {},
                    b"",
                    1.0,
                )
                if answer.status == 200:
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"node {machine.number} is not ready")

    async def stop(self):
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.temporary, file=sys.stderr)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def free_ports(host, count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


# ---------------------------------------------------------------- clients


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join([*lines, "", ""])).encode() + body


async def call(host, port, method, target, headers, body, timeout_s):
    """Send one request on a connection of its own and return the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            headers = {"Host": f"{host}:{port}", **headers}
            writer.write(request_bytes(method, target, headers, body))
            return await read_answer(reader)
        finally:
            writer.close()


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def client_request(host, target, attempt, deadline_ms, method="GET", body=b""):
    headers = {
        "Host": host,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
    }
    return request_bytes(method, target, headers, body)


def configuration(version, routes, services):
    """Return a configuration as the operator writes it.

    :param routes: (name, prefix, service, kind, timeout_ms, aim_ms).
    """
    columns = (
        "name host path_prefix service route_kind timeout_ms target_latency_ms "
        "priority max_attempts"
    ).split()
    rows = [
        [name, "hulo84.example", prefix, service, kind, timeout_ms, aim_ms, 1, 2]
        for name, prefix, service, kind, timeout_ms, aim_ms in routes
    ]
    return {
        "version": version,
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_check_path"],
            "rows": [[name, "/health"] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 8388608,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 10000,
        },
    }


def play(folder, machines, case):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    :param case: coroutine function; takes the deployment and whether the disruption
        happens, and returns whether the rule held, with a line about it.
    """

    async def run():
        deployment = Deployment(folder, machines)
        task = asyncio.current_task()
        # Whoever ends the script early ends its processes too.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        trouble = os.environ.get("TROUBLE", "1") not in ("0", "kill")
        deployment.record.say(f"disruption: {'yes' if trouble else 'no'}")
        try:
            async with asyncio.timeout(110):
                held, text = await case(deployment, trouble)
        except (CannotRun, TimeoutError, OSError) as error:
            deployment.record.say(f"the case couldn't run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.stop()
        verdict = "held" if held else "BROKEN"
        deployment.record.say(f"rule {verdict}: {text}")
        print(f"{verdict}: {text}")
        return 0 if held else 1

    sys.exit(asyncio.run(run()))
