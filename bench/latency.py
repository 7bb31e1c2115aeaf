"""Added latency and processor time of a node, against baselines in the same run.

``python -m bench.latency [SECONDS] [CALLS_PER_S]`` starts two backend servers with
their nodes, and a bare aiohttp pass-through, as separate processes. Calls take four
paths in turn: direct, through the pass-through, through one node and through two. The
exit status is 1 when one node or two add more latency at the 99th percentile than the
target allows.
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

TARGET_ADDED_P99_MS = 0.5
MAX_LATENCY_US = 10_000_000
WARM_UP_CALLS = 200
CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")


@final
@dataclass(slots=True)
class CallPath:
    """A path from client to backend server, with its latencies in microseconds.

    :param pids: processes whose processor time counts for this path.
    :param cpu_us: processor time per call.
    """

    name: str
    url: str
    pids: Sequence[int] = ()
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )
    cpu_us: float = 0.0

    def percentile_ms(self, percentile: float) -> float:
        """Return the latency at a percentile, in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) * CLOCK_TICK_S


async def _call(session: aiohttp.ClientSession, call_path: CallPath) -> None:
    started = time.perf_counter()
    async with session.get(call_path.url) as response:
        await response.read()
        assert response.status == 200, await response.text()
    call_path.histogram.record_value(int((time.perf_counter() - started) * 1e6))


async def measure(call_paths: Sequence[CallPath], seconds: float, rate: float) -> None:
    """Send ``rate`` calls a second, over all paths in turn; fill their histograms."""
    async with aiohttp.ClientSession() as session:
        for number in range(WARM_UP_CALLS * len(call_paths)):
            await _call(session, call_paths[number % len(call_paths)])
        for call_path in call_paths:
            call_path.histogram.reset()
        calls: set[asyncio.Task[None]] = set()
        started = time.perf_counter()
        for number in range(int(seconds * rate)):
            pause_s = started + number / rate - time.perf_counter()
            if pause_s > 0:
                await asyncio.sleep(pause_s)
            task = asyncio.create_task(
                _call(session, call_paths[number % len(call_paths)])
            )
            calls.add(task)
            task.add_done_callback(calls.discard)
        await asyncio.gather(*calls)


async def measure_cpu(call_paths: Sequence[CallPath], calls: int) -> None:
    """Send ``calls`` sequential calls over each path; set its ``cpu_us``."""
    async with aiohttp.ClientSession() as session:
        for call_path in call_paths:
            before = sum(cpu_s(pid) for pid in call_path.pids)
            for _ in range(calls):
                await _call(session, call_path)
            used_cpu_s = sum(cpu_s(pid) for pid in call_path.pids) - before
            call_path.cpu_us = used_cpu_s / calls * 1e6


def main() -> int:
    """Run the measurement, print its table, and return the exit code."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    rate = float(sys.argv[2]) if len(sys.argv) > 2 else 213.0
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        call_paths = _start(fleet)
        uvloop.run(measure(call_paths, seconds, rate))
        exit_code = report(call_paths)
        uvloop.run(measure_cpu(call_paths, 2_000))
        for call_path in call_paths[1:]:
            print(
                f"{call_path.name:13} {call_path.cpu_us:6.0f} us"
                " of processor time a call"
            )
    return exit_code


def _start(fleet: Fleet) -> list[CallPath]:
    near = fleet.add("near", "inspect-desk", "kochi-a", latency_ms=2)
    far = fleet.add("far", "batch-board", "kochi-b", latency_ms=2)
    port = free_port()
    module = "testing.standins.pass_through"
    bare = fleet.start("bare", module, str(port), str(near.server_port))
    fleet.extra_processes.append(bare)
    fleet.apply(ROOT / "examples" / "kerala-south.ini")
    fleet.wait_ready()
    path = "/inspections/1"
    bare_url = f"http://127.0.0.1:{port}{path}"
    wait_until(lambda: http("GET", bare_url)[0] == 200, 10, "pass-through starts")
    assert near.node is not None
    assert far.node is not None
    pids = [near.node.pid, far.node.pid]
    return [
        CallPath("direct", f"http://127.0.0.1:{near.server_port}{path}"),
        CallPath("pass-through", bare_url, [bare.pid]),
        CallPath("one node", near.url + path, pids[:1]),
        CallPath("two nodes", f"{near.url}/batches/1", pids),
    ]


def report(call_paths: Sequence[CallPath]) -> int:
    """Print each path's percentiles and the latency it adds; return the exit code."""
    print("path          calls   p50 ms   p99 ms   added p50   added p99")
    direct = call_paths[0]
    for call_path in call_paths:
        print(
            f"{call_path.name:13} {call_path.histogram.total_count:5}"
            f" {call_path.percentile_ms(50):8.3f} {call_path.percentile_ms(99):8.3f}"
            f" {call_path.percentile_ms(50) - direct.percentile_ms(50):11.3f}"
            f" {call_path.percentile_ms(99) - direct.percentile_ms(99):11.3f}"
        )
    above_target = [
        path.name
        for path in call_paths[2:]
        if path.percentile_ms(99) - direct.percentile_ms(99) > TARGET_ADDED_P99_MS
    ]
    verdict = f"missed by {', '.join(above_target)}" if above_target else "met"
    print(f"target: added p99 at most {TARGET_ADDED_P99_MS} ms: {verdict}")
    return 1 if above_target else 0


if __name__ == "__main__":
    raise SystemExit(main())
