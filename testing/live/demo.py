"""Demonstrate a small fleet: ``python -m testing.live.demo``.

It ends within 40 seconds. The exit status is 0 if all guarantees held, otherwise 1.
"""

from __future__ import annotations

import asyncio
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from pathlib import Path

import aiohttp
from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import Server
from testing.live.load import Kind
from testing.live.load import send_at_rate
from testing.live.load import Tally

CATALOGUE = ROOT / "examples" / "demo.ini"
TIME_LIMIT_S = 38.0
ARCHIVE_BYTES = 3_000_000
BOOKING = Kind(
    "tooling-booking",
    "bookings",
    "POST",
    "/bookings",
    "inspect-desk",
    child="batch-board",
)
SLOW_BOOKING = replace(BOOKING, path="/bookings?latency_ms=300")
READ = Kind(
    "inspection-read",
    "line",
    "GET",
    "/inspections/4",
    "inspect-desk",
    child="batch-board",
)
BOARD = Kind("batch-status", "boards", "GET", "/batches/9", "batch-board")
CLASSES = ("bookings", "line", "boards")
ADDED_ENTRY = """
[entry seam-photo]
owner = quality
class = boards
service = batch-board
method = GET
path = /photos/*
deadline_ms = 1500
idempotent = yes
"""
RETRIES = re.compile(r'^masticspoke_retries_total\{class="(\w+)".*\} (\d+)$', re.M)


@dataclass
class Demo:
    """The running fleet, the servers that clients use, and the counted outcomes."""

    fleet: Fleet
    session: aiohttp.ClientSession
    started_at: float
    client_servers: list[Server] = field(default_factory=list)
    tally: Tally = field(default_factory=Tally)
    retried: Counter[str] = field(default_factory=Counter)

    def print_step(self, text: str) -> None:
        print(f"{time.monotonic() - self.started_at:5.1f} s  {text}", flush=True)

    def urls(self) -> Sequence[str]:
        return [server.url for server in self.client_servers]

    def load(
        self, kinds: Sequence[Kind], per_s: float, duration_s: float
    ) -> Coroutine[None, None, None]:
        return send_at_rate(
            self.session, self.urls, kinds, per_s, duration_s, self.tally
        )

    def count_retries(self, server: Server) -> None:
        url = f"http://127.0.0.1:{server.peer_port}/.masticspoke/metrics"
        for class_name, count in RETRIES.findall(http("GET", url)[1].decode()):
            self.retried[class_name] += int(count)


async def start(demo: Demo) -> None:
    demo.print_step("starting a log stand-in, 5 backend servers and their 5 nodes")
    for name, zone in (("a", "kochi-a"), ("b", "kochi-b"), ("c", "alappuzha-a")):
        demo.fleet.add(
            name,
            "inspect-desk",
            zone,
            slots=8,
            latency_ms=15,
            child="/batches/7",
            journal=journal_path(demo.fleet, name),
        )
    for name, zone in (("d", "kochi-a"), ("e", "kochi-b")):
        demo.fleet.add(name, "batch-board", zone, slots=6, latency_ms=25)
    demo.client_servers = list(demo.fleet.servers)
    await asyncio.to_thread(demo.fleet.apply, CATALOGUE)
    await asyncio.to_thread(demo.fleet.wait_ready)
    demo.print_step(
        "catalogue version 1 in force at 5 nodes; every node knows 5 members"
    )


def journal_path(fleet: Fleet, name: str) -> Path:
    return fleet.folder / f"runs-{name}"


async def serve_all_classes(demo: Demo) -> None:
    demo.print_step(
        "three classes; inspect-desk calls batch-board; some bookings sent twice"
    )
    await demo.load((BOOKING, READ, BOARD, READ), per_s=60, duration_s=3)


async def change_catalogue(demo: Demo) -> None:
    changed = demo.fleet.folder / "changed.ini"
    changed.write_text(CATALOGUE.read_text() + ADDED_ENTRY)
    url = f"{demo.client_servers[0].url}/photos/3"
    before, _ = await asyncio.to_thread(http, "GET", url)
    await asyncio.to_thread(demo.fleet.apply, changed)
    reported_at = time.monotonic()
    await asyncio.to_thread(demo.fleet.wait_ready, 2, 10.0)
    in_force_s = time.monotonic() - reported_at
    after, _ = await asyncio.to_thread(http, "GET", url)
    demo.print_step(
        f"catalogue version 2 in force at 5 nodes {in_force_s:.2f} s after the command "
        f"reported it: GET /photos/3 gave {before}, now {after}"
    )
    if (before, after) != (404, 200):
        demo.tally.broken.append(f"the catalogue change shows as {before}, {after}")


async def kill_backend(demo: Demo) -> None:
    load = asyncio.create_task(demo.load((READ, SLOW_BOOKING), per_s=60, duration_s=3))
    await asyncio.sleep(0.7)
    killed = demo.fleet.servers[0]
    assert killed.backend is not None
    killed.backend.kill()
    demo.print_step("killed a backend server of inspect-desk under load")
    await load


async def drain_backend(demo: Demo) -> None:
    leaving = demo.fleet.servers[3]
    assert leaving.backend is not None
    assert leaving.node is not None
    archive = asyncio.create_task(download(demo, leaving))
    load = asyncio.create_task(demo.load((READ, BOARD), per_s=60, duration_s=3))
    await asyncio.sleep(0.7)
    leaving.backend.terminate()
    demo.client_servers.remove(leaving)
    demo.print_step(
        "draining a backend server of batch-board during an archive download"
    )
    await load
    await archive
    await asyncio.to_thread(demo.count_retries, leaving)
    leaving.node.send_signal(signal.SIGTERM)
    code = await asyncio.to_thread(leaving.node.wait, 10)
    demo.print_step(f"the backend server has left; its node exited with status {code}")
    if code != 0:
        demo.tally.broken.append(f"the drained node exited with status {code}")


async def download(demo: Demo, server: Server) -> None:
    url = f"{server.url}/archives/1?size={ARCHIVE_BYTES}&chunk_ms=40"
    try:
        async with demo.session.get(url) as response:
            size = len(await response.read())
    except aiohttp.ClientError as error:
        demo.tally.broken.append(
            f"the drain interrupted an archive download: {error!r}"
        )
        return
    if (response.status, size) != (200, ARCHIVE_BYTES):
        demo.tally.broken.append(f"archive: status {response.status}, {size} bytes")
        return
    demo.print_step(f"downloaded the complete archive, {size} bytes")


async def flood(demo: Demo) -> None:
    demo.print_step("flood of the least urgent class, beyond what batch-board can take")
    await asyncio.gather(
        demo.load((BOARD,), per_s=350, duration_s=3),
        demo.load((READ, BOOKING), per_s=30, duration_s=3),
    )


def check_runs(demo: Demo) -> None:
    runs: Counter[str] = Counter()
    for server in demo.fleet.servers[:3]:
        runs.update(journal_path(demo.fleet, server.name).read_text().split())
    tally = demo.tally
    twice = [key for key, count in runs.items() if count > 1]
    # When one of two sends of a key is refused as not run, the other may have run.
    answered_or_unknown = tally.answered_keys | tally.unknown_keys
    false_refusals = [
        key for key in tally.not_run_keys - answered_or_unknown if runs[key] > 0
    ]
    tally.broken += [f"booking {key} ran {runs[key]} times" for key in twice]
    tally.broken += [
        f"booking {key} was refused as not run, but ran" for key in false_refusals
    ]
    demo.print_step(f"{len(runs)} bookings ran, {len(twice)} of them more than once")


def report(demo: Demo) -> int:
    tally = demo.tally
    print(
        f"\n{'class':10}{'sent':>7}{'served':>8}{'refused':>9}{'nested':>7}{'cut':>5}"
        f"{'retried':>9}  refusal reasons"
    )
    for name in CLASSES:
        reasons = {r: n for (c, r), n in tally.refused.items() if c == name}
        reason_counts = ", ".join(f"{r} {n}" for r, n in sorted(reasons.items()))
        print(
            f"{name:10}{tally.sent(name):7}{tally.served[name]:8}"
            f"{sum(reasons.values()):9}{tally.inner[name]:7}{tally.cut[name]:5}"
            f"{demo.retried[name]:9}  {reason_counts}"
        )
    print("nested: a nested request failed; cut: the answer is incomplete or missing\n")
    for text in tally.broken:
        print(f"VIOLATED: {text}")
    print(f"{len(tally.broken)} violated guarantees")
    return 1 if tally.broken else 0


async def run(folder: Path) -> int:
    async with AsyncExitStack() as stack:
        fleet = stack.enter_context(Fleet(folder))
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=20)
        session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        await stack.enter_async_context(session)
        demo = Demo(fleet, session, time.monotonic())
        async with asyncio.timeout(TIME_LIMIT_S):
            await start(demo)
            await serve_all_classes(demo)
            await change_catalogue(demo)
            await kill_backend(demo)
            await drain_backend(demo)
            await flood(demo)
            for server in demo.client_servers:
                await asyncio.to_thread(demo.count_retries, server)
        check_runs(demo)
        return report(demo)


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(run(Path(folder)))
        except (TimeoutError, AssertionError) as error:
            print(f"the demo did not finish: {error!r}")
            return 1


if __name__ == "__main__":
    sys.exit(main())
