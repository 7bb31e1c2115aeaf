"""Added latency and processor time of a node, against baselines in the same run.

``python -m bench.latency [SECONDS] [CALLS_PER_S]`` starts two backend servers with
their nodes, and a bare aiohttp pass-through, as separate processes. Calls go in turn
directly, through the pass-through, through one node and through two. It exits with 1
when the added time at 99 in 100 is over the target.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import final

import aiohttp
import uvloop
from hdrh.histogram import HdrHistogram
from testing.live.fleet import Fleet
from testing.live.fleet import free_port
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import wait_until

TARGET_MS = 0.5
MAX_US = 10_000_000
WARM_UP_CALLS = 200
TICK_S = 1 / os.sysconf("SC_CLK_TCK")


@final
@dataclass(slots=True)
class Way:
    """One way of a call, with its latencies in microseconds.

    :param pids: processes whose time the way is charged with.
    """

    name: str
    url: str
    pids: Sequence[int] = ()
    histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_US, 3))
    cpu_us: float = 0.0

    def at(self, percentile: float) -> float:
        """Return the latency at a percentile, in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) * TICK_S


async def _call(session: aiohttp.ClientSession, way: Way) -> None:
    started = time.perf_counter()
    async with session.get(way.url) as response:
        await response.read()
        assert response.status == 200, await response.text()
    way.histogram.record_value(int((time.perf_counter() - started) * 1e6))


async def measure(ways: Sequence[Way], seconds: float, rate: float) -> None:
    """Send calls to all ways in turn; fill their histograms."""
    async with aiohttp.ClientSession() as session:
        for number in range(WARM_UP_CALLS * len(ways)):
            await _call(session, ways[number % len(ways)])
        for way in ways:
            way.histogram.reset()
        calls: set[asyncio.Task[None]] = set()
        started = time.perf_counter()
        for number in range(int(seconds * rate)):
            pause_s = started + number / rate - time.perf_counter()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            task = asyncio.create_task(_call(session, ways[number % len(ways)]))
            calls.add(task)
            task.add_done_callback(calls.discard)
        await asyncio.gather(*calls)


async def measure_cpu(ways: Sequence[Way], calls: int) -> None:
    """Send ``calls`` calls each way, one after another; note the processor time."""
    async with aiohttp.ClientSession() as session:
        for way in ways:
            before = sum(cpu_s(pid) for pid in way.pids)
            for _ in range(calls):
                await _call(session, way)
            used = sum(cpu_s(pid) for pid in way.pids) - before
            way.cpu_us = used / calls * 1e6


def main() -> int:
    """Run the measurement, print its table, and return the exit code."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    rate = float(sys.argv[2]) if len(sys.argv) > 2 else 213.0
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        ways = _start(fleet)
        uvloop.run(measure(ways, seconds, rate))
        rows = report(ways)
        uvloop.run(measure_cpu(ways, 2_000))
        for way in ways[1:]:
            print(f"{way.name:13} {way.cpu_us:6.0f} us of processor time a call")
    return rows


def _start(fleet: Fleet) -> list[Way]:
    near = fleet.add("near", "inspect-desk", "kochi-a", latency_ms=2)
    far = fleet.add("far", "batch-board", "kochi-b", latency_ms=2)
    port = free_port()
    module = "testing.standins.pass_through"
    bare = fleet.start("bare", module, str(port), str(near.own_port))
    fleet.extra.append(bare)
    fleet.apply(ROOT / "examples" / "kerala-south.ini")
    fleet.wait_ready()
    path = "/inspections/1"
    bare_url = f"http://127.0.0.1:{port}{path}"
    wait_until(lambda: http("GET", bare_url)[0] == 200, 10, "pass-through starts")
    assert near.node is not None
    assert far.node is not None
    pids = [near.node.pid, far.node.pid]
    return [
        Way("direct", f"http://127.0.0.1:{near.own_port}{path}"),
        Way("pass-through", bare_url, [bare.pid]),
        Way("one node", near.url + path, pids[:1]),
        Way("two nodes", f"{near.url}/batches/1", pids),
    ]


def report(ways: Sequence[Way]) -> int:
    """Print each way's percentiles and what it adds to the direct call."""
    print("way           calls   p50 ms   p99 ms   added p50   added p99")
    base = ways[0]
    for way in ways:
        print(
            f"{way.name:13} {way.histogram.total_count:5} {way.at(50):8.3f}"
            f" {way.at(99):8.3f} {way.at(50) - base.at(50):11.3f}"
            f" {way.at(99) - base.at(99):11.3f}"
        )
    missed = [w.name for w in ways[2:] if w.at(99) - base.at(99) > TARGET_MS]
    verdict = f"missed by {', '.join(missed)}" if missed else "met"
    print(f"target: added p99 at most {TARGET_MS} ms: {verdict}")
    return 1 if missed else 0


if __name__ == "__main__":
    raise SystemExit(main())
