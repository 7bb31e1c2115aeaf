"""Slopes for docs/CAPACITY.md: memory, processor time and bytes per unit of work.

``python -m bench.capacity`` prints a table of slopes measured with the real code:
in-memory states of growing size, and idle fleets of separate processes of two sizes.
"""

from __future__ import annotations

import gc
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

from testing.live.fleet import Fleet
from testing.live.fleet import ROOT

from _masticspoke.border.gossip import decode_digest
from _masticspoke.border.gossip import encode_catalogue
from _masticspoke.border.gossip import encode_digest
from _masticspoke.border.records import decode_record
from _masticspoke.border.records import encode_record
from _masticspoke.border.records import RecordValue
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.hints import HintsState
from _masticspoke.decisions.hints import member_hint
from _masticspoke.decisions.hints import merge
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left
from _masticspoke.messages.control import Digest
from _masticspoke.model import Address
from _masticspoke.model import Catalogue
from _masticspoke.model import ClassSpec
from _masticspoke.model import Entry
from _masticspoke.model import Member

RSS_PROBE = (
    "from pathlib import Path;"
    "t = Path('/proc/self/status').read_text();"
    "print(t.partition('VmRSS:')[2].split()[0])"
)
FLEET_SIZES = (4, 16)
IDLE_S = 15.0


def member(number: int) -> Member:
    """Return one of many different members."""
    node = Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 8081)
    return Member(
        service=f"service-{number % 2400}",
        backend=Address(node.host, 8000),
        node=node,
        zone=f"zone-{number % 10}",
        incarnation=f"{number:012x}-0123456789abcdef-0000",
        slots=50,
        connections=400,
    )


def entry(number: int) -> Entry:
    """Return one of many different catalogue entries."""
    return Entry(
        kind=f"kind-{number}",
        owner="floor-supervisors",
        class_name="line",
        rank=1,
        service=f"service-{number}",
        method="GET",
        path=f"/service-{number}/*",
        deadline_ms=2000,
        idempotent=True,
    )


def catalogue(entries: int) -> CatalogueState:
    """Return a catalogue of that many entries."""
    made = tuple(entry(n) for n in range(entries))
    return CatalogueState(Catalogue(1, (ClassSpec("line", 1, 30.0),), made), "0" * 16)


def bytes_each(make: Callable[[int], object], count: int) -> float:
    """Return the memory that each of ``count`` units takes in what ``make`` returns."""
    gc.collect()
    tracemalloc.start()
    held = make(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size / count


def us_each(work: Callable[[], object], repeats: int = 2_000) -> float:
    """Return the processor time of one call, in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started) / repeats * 1e6


def rss_mib(statement: str) -> float:
    """Return the resident memory of an interpreter after a statement."""
    code = f"{statement}\n{RSS_PROBE}"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    return int(done.stdout) / 1024


def print_base() -> None:
    """Print the memory of the interpreter, of the libraries and of our modules."""
    libraries = "aiohttp, aiomisc, hdrh.histogram, loguru, pydantic, uvloop"
    print(f"interpreter alone        {rss_mib('pass'):8.1f} MiB resident")
    print(f"with the libraries       {rss_mib(f'import {libraries}'):8.1f} MiB")
    print(f"with our modules         {rss_mib('import masticspoke'):8.1f} MiB")


def print_states() -> None:
    """Print memory, bytes and processor time per member, entry and record."""
    hints: Callable[[int], HintsState] = lambda n: merge(  # noqa: E731
        HintsState(), (member_hint(member(i)) for i in range(n))
    )
    print(f"member known             {bytes_each(hints, 15_000):8.0f} bytes of memory")
    print(f"catalogue entry          {bytes_each(catalogue, 5_000):8.0f} bytes")
    known = hints(15_000)
    newer = member_hint(member(15_001))
    cost = us_each(lambda: merge(known, (newer,)), 20)
    print(f"merge at 15,000 members  {cost:8.0f} us")
    small = hints(20)
    print(f"merge at 20 members      {us_each(lambda: merge(small, (newer,))):8.1f} us")


def print_records() -> None:
    """Print the size of each record, and what it costs to read."""
    one = member(77)
    change = Change("0" * 16, 1, catalogue(100).catalogue, "operator")
    values: dict[str, RecordValue] = {
        "joined": Joined(one),
        "left": Left(one.node, one.incarnation),
        "change, 100 entries": change,
    }
    for name, value in values.items():
        data = encode_record(value)
        cost = us_each(lambda data=data: decode_record(data), 500)  # type: ignore[misc]
        print(f"record {name:19} {len(data):6} bytes {cost:8.1f} us to read")
    size = len(encode_catalogue(catalogue(100)))
    print(f"catalogue of 100 entries {size:8} bytes between nodes")
    for told in (0, 10):
        news = tuple(member_hint(member(i)) for i in range(told))
        body = encode_digest(Digest(one.node, 1, 0, news))
        cost = us_each(lambda body=body: decode_digest(body))  # type: ignore[misc]
        print(
            f"digest with {told:2} news      {len(body):8} bytes {cost:8.1f} us to read"
        )


def print_idle_fleets() -> None:
    """Print what an idle node spends, in fleets of two sizes."""
    for size in FLEET_SIZES:
        with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
            for number in range(size):
                fleet.add(f"n{number}", "inspect-desk", "kochi-a")
            fleet.apply(ROOT / "examples" / "kerala-south.ini")
            fleet.wait_ready(timeout_s=60)
            pids = [s.node.pid for s in fleet.servers if s.node is not None]
            time.sleep(5)
            before = [(_cpu_s(p), _io_bytes(p)) for p in pids]
            time.sleep(IDLE_S)
            after = [(_cpu_s(p), _io_bytes(p)) for p in pids]
            cpu = sum(a[0] - b[0] for a, b in zip(after, before, strict=True))
            moved = sum(a[1] - b[1] for a, b in zip(after, before, strict=True))
            rss = sum(_rss_mib(p) for p in pids) / size
            print(
                f"idle node, fleet of {size:3}  {cpu / size / IDLE_S * 100:8.2f} % of a"
                f" core {moved / size / IDLE_S / 1000:8.2f} KB/s read and written"
                f" {rss:8.1f} MiB resident"
            )


def _cpu_s(pid: int) -> float:
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / 100


def _io_bytes(pid: int) -> int:
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines[:2])


def _rss_mib(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / 1024


def main() -> int:
    """Print all slopes."""
    print_base()
    print_states()
    print_records()
    print_idle_fleets()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
