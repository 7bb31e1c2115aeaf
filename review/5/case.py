"""A node killed right after it acknowledged a leave lets the server in again."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import socket
import time
from pathlib import Path

import fleet as f

DEADLINE_MS = 5000
DRAIN_S = 2.0  # drain_timeout_ms
SETTLE_S = 3.0  # settle_window_ms
SERVES_ON_S = 10.0
RESTART_DELAY_S = 0.5
LATE_S = 3.0
IDS = itertools.count()


async def case(record: f.Record) -> bool:
    fleet = f.Fleet(record, [("z1", "tooling-desk"), ("z2", "inspect-desk")])
    try:
        return await play(fleet, record)
    finally:
        await fleet.close()


async def play(fleet: f.Fleet, record: f.Record) -> bool:
    await fleet.start_log()
    await fleet.publish(
        [
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
            ]
        ],
        ["tooling-desk", "inspect-desk"],
    )
    machine, entry = fleet.nodes
    tooling = fleet.backend(machine, "i-tooling-1", slots=71, work=lambda path: 0.29)
    desk = fleet.backend(entry, "i-desk-1")
    for node, backend in ((machine, tooling), (entry, desk)):
        await backend.start()
        await node.start()
    for node, backend in ((machine, tooling), (entry, desk)):
        await node.wait_ready()
        backend.beat(node.control_plane)
    await asyncio.sleep(1.5)
    f.set_log_faults(fleet, delay_ms=4)  # the time that the store takes for an answer
    sender = asyncio.create_task(send_steadily(entry, record))
    await asyncio.sleep(6.0)
    tooling.stop_beating()
    late = tooling.heartbeat()
    record(f"heartbeat {late['sequence']} is sent and delayed")
    tooling.state = "leaving"  # its health check now answers 503
    assert machine.process is not None
    acknowledged = deregister(machine, tooling, machine.process.pid if f.TROUBLE else 0)
    acknowledged_at = time.monotonic()
    record(f"leave acknowledged: {acknowledged}")
    if not acknowledged:
        raise f.CannotRunError("the leave was not acknowledged")
    restarted_at = acknowledged_at
    if f.TROUBLE:
        record("machine's node was killed")
        await machine.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await machine.start()
        restarted_at = time.monotonic()
        await machine.wait_ready()
    await asyncio.sleep(max(0.0, acknowledged_at + LATE_S - time.monotonic()))
    await tooling.announce(machine.control_plane, late)
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_ON_S - time.monotonic()))
    sender.cancel()
    # Both machines are in touch again once the settle window after the start is over.
    since = max(acknowledged_at + DRAIN_S, restarted_at + SETTLE_S)
    runs = [run for run in tooling.runs if run.at > since]
    for run in runs:
        record(f"{run.request_id} ran {run.at - acknowledged_at:.2f} s after the ack")
    record(f"requests run later than drain_timeout_ms, machines in touch: {len(runs)}")
    return bool(runs)


def deregister(machine: f.Node, backend: f.Backend, kill: int) -> bool:
    """Send the leave; kill the process ``kill`` as soon as it is acknowledged."""
    backend.sequence += 1
    body = json.dumps({"sequence": backend.sequence, "born": backend.born}).encode()
    host, _, port = machine.control_plane.rpartition(":")
    path = f"/Instances.Deregister/{backend.instance}"
    with socket.create_connection((host, int(port)), timeout=1.0) as sock:
        sock.sendall(f.encode_request("POST", path, {"Host": host}, body))
        answer = sock.recv(4096)
        if kill:
            os.kill(kill, signal.SIGKILL)
    return answer.startswith(b"HTTP/1.1 200")


async def send_steadily(entry: f.Node, record: f.Record) -> None:
    async with asyncio.TaskGroup() as requests:
        while True:
            requests.create_task(send(entry, record))
            await asyncio.sleep(0.1)


async def send(entry: f.Node, record: f.Record) -> None:
    request_id = f"r{next(IDS)}"
    record(f"client sends {request_id}")
    headers = {"X-Attempt-Id": request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
    path = f"/order/{request_id}"
    try:
        answer = await f.request(entry.outbound, "POST", path, headers, b"one chuck")
        signature = answer.headers.get("x-response-signature", "")
        record(f"client {request_id}: {answer.status} {signature}")
    except (OSError, EOFError) as error:
        record(f"client {request_id}: {error!r}")


f.main(Path(__file__).parent, case)
