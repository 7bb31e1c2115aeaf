"""Processor time of a call on the platform's path, against a pass-through.

``python -m bench.call_cost [CALLS] [PROFILE_FOLDER]`` starts a log service, a bare
pass-through and two nodes as separate processes, with backend servers of its own, and
sends CALLS sequential calls over each path. With a folder, the nodes run under cProfile
and leave their profiles there; their times are then no measurements.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import final

import aiohttp
import uvloop
from testing.fleet.platform_fleet import HOST
from testing.live.fleet import free_port
from testing.live.fleet import ROOT
from testing.platform.test_settings import write_settings
from testing.standins.platform_backend import PlatformBackend
from testing.standins.platform_operator import COLUMNS

from _masticspoke.platform.log import keyed_record
from bench.latency import cpu_s

HEARTBEAT_S = 1.0
WARM_UP_CALLS = 300
START_TIMEOUT_S = 15.0
# Runs a node under the profiler, which counts processor time instead of elapsed time.
PROFILED = """
import cProfile, sys, time
from _masticspoke.platform.__main__ import main

profile = cProfile.Profile(time.process_time)
try:
    profile.runcall(main)
finally:
    profile.dump_stats(sys.argv[1])
"""
NODES: Mapping[str, str] = {"near": "127.0.0.11", "far": "127.0.0.12"}


@final
@dataclass(slots=True)
class BenchNode:
    """A node's process, and the backend server that this process stands in for."""

    process: subprocess.Popen[bytes]
    backend: PlatformBackend
    clients: str
    control_plane: str


def start(*arguments: str, **environment: str) -> subprocess.Popen[bytes]:
    """Start a Python process."""
    return subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        env={**os.environ, **environment},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def start_node(
    folder: Path, profiles: str, service: str, host: str, ports: Mapping[str, int]
) -> BenchNode:
    """Start the node of a service."""
    names = ("outbound", "inbound", "readiness_address", "control_plane")
    fields = {f"listeners_by_port.{name}": f"{host}:{ports[name]}" for name in names}
    own = folder / service
    own.mkdir()
    path = write_settings(
        own,
        node_name=service,
        service=service,
        ip=host,
        application_address=f"{host}:{ports['backend']}",
        seed_nodes=",".join(f"{other}:1" for other in NODES.values()),
        **fields,
        **{
            "internal_port_range.0": str(ports["metrics"]),
            "platform.address": f"127.0.0.1:{ports['log']}",
        },
    )
    program = (
        ["-c", PROFILED, f"{profiles}/{service}.prof"]
        if profiles
        else ["-m", "_masticspoke.platform"]
    )
    process = start(*program, MASTICSPOKE_SETTINGS=str(path))
    backend = PlatformBackend(host, ports["backend"], service, f"i-{service}")
    clients = f"{host}:{ports['outbound']}"
    return BenchNode(process, backend, clients, f"{host}:{ports['control_plane']}")


async def publish(session: aiohttp.ClientSession, log_port: int) -> None:
    """Append a configuration with one route to each service to the log."""
    rows = [[s, HOST, f"/{s}/", "idempotent", 5000, 1000, 1, None, 2, s] for s in NODES]
    value = {"version": 1, "routes": {"columns": COLUMNS, "rows": rows}}
    record = keyed_record("config", json.dumps(value).encode())
    framed = len(record).to_bytes(4, "big") + record
    url = f"http://127.0.0.1:{log_port}/log-append?topic=keyed.op"
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                async with session.post(url, data=framed) as answer:
                    assert answer.status == 200, await answer.text()
                    return
            except aiohttp.ClientConnectionError:
                await asyncio.sleep(0.1)


async def announce(session: aiohttp.ClientSession, node: BenchNode) -> None:
    """Send heartbeats until cancelled."""
    while True:
        try:
            await node.backend.announce(session, node.control_plane)
        except aiohttp.ClientError:
            await asyncio.sleep(0.1)
            continue
        await asyncio.sleep(HEARTBEAT_S)


async def call(session: aiohttp.ClientSession, url: str) -> int:
    """Send a call and return its status."""
    headers = {"Host": HOST, "X-Attempt-Id": os.urandom(8).hex()}
    headers["X-Deadline-Ms"] = "3000"
    async with session.get(url, headers=headers) as answer:
        await answer.read()
        return answer.status


async def is_served(session: aiohttp.ClientSession, url: str) -> bool:
    """Return whether a call is answered; the pass-through's is, with 421."""
    try:
        return await call(session, url) in (200, 421)
    except aiohttp.ClientError:
        return False


async def measure(
    session: aiohttp.ClientSession, url: str, pids: list[int], calls: int
) -> float:
    """Return the microseconds of processor time of a call."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await is_served(session, url):
            await asyncio.sleep(0.1)
    for _ in range(WARM_UP_CALLS):
        await call(session, url)
    before = sum(cpu_s(pid) for pid in pids)
    for _ in range(calls):
        assert await call(session, url) in (200, 421)
    return (sum(cpu_s(pid) for pid in pids) - before) / calls * 1e6


async def run(folder: Path, calls: int, profiles: str) -> None:
    """Start all processes, measure each path and print the table."""
    names = ("outbound", "inbound", "readiness_address", "control_plane")
    ports = {name: free_port() for name in (*names, "backend", "metrics", "log")}
    bare_port = free_port()
    log = start("-m", "testing.standins.log_service", str(ports["log"]))
    nodes = {
        service: start_node(folder, profiles, service, host, ports)
        for service, host in NODES.items()
    }
    target = PlatformBackend("127.0.0.1", ports["backend"], "near", "i-bare")
    bare_arguments = (str(bare_port), str(ports["backend"]))
    bare = start("-m", "testing.standins.pass_through", *bare_arguments)
    processes = [log, bare, *(node.process for node in nodes.values())]
    try:
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            await publish(session, ports["log"])
            heartbeats = []
            await target.start()
            for node in nodes.values():
                await node.backend.start()
                heartbeats.append(group.create_task(announce(session, node)))
            near, far = (nodes[name].process.pid for name in ("near", "far"))
            entry = f"http://{nodes['near'].clients}"
            paths = (
                ("pass-through", f"http://127.0.0.1:{bare_port}/near/1", [bare.pid]),
                ("one node", f"{entry}/near/1", [near]),
                ("two nodes", f"{entry}/far/1", [near, far]),
            )
            for name, url, pids in paths:
                cpu_us = await measure(session, url, pids, calls)
                print(f"{name:13} {cpu_us:6.0f} us of processor time a call")
            for heartbeat in heartbeats:
                heartbeat.cancel()
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait(START_TIMEOUT_S)


def main() -> int:
    """Run the measurement."""
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else 3_000
    profiles = sys.argv[2] if len(sys.argv) > 2 else ""
    with tempfile.TemporaryDirectory() as folder:
        uvloop.run(run(Path(folder), calls, profiles))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
