"""Costs per unit for docs/CAPACITY.md: memory, processor time and bytes sent.

``python -m bench.capacity`` prints a table measured with the production code: states
held in memory, encoded records, and idle fleets of separate processes of two sizes.
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
    """Return a member whose fields are derived from a number."""
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
    """Return a catalogue entry whose fields are derived from a number."""
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
    """Return a catalogue with the given number of entries."""
    all_entries = tuple(entry(n) for n in range(entries))
    return CatalogueState(
        Catalogue(1, (ClassSpec("line", 1, 30.0),), all_entries), "0" * 16
    )


def bytes_per_unit(make: Callable[[int], object], count: int) -> float:
    """Return the size of ``make(count)`` in memory, divided by ``count``."""
    gc.collect()
    tracemalloc.start()
    units = make(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del units
    return size / count


def cpu_us_per_call(work: Callable[[], object], repeats: int = 2_000) -> float:
    """Return the processor time of one call, in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started) / repeats * 1e6


def rss_mib(statement: str) -> float:
    """Return the resident memory of a new interpreter that ran a statement."""
    code = f"{statement}\n{RSS_PROBE}"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    return int(done.stdout) / 1024


def print_base() -> None:
    """Print resident memory without imports, with the libraries and with the node."""
    libraries = "aiohttp, aiomisc, hdrh.histogram, loguru, pydantic, uvloop"
    print(f"interpreter alone        {rss_mib('pass'):8.1f} MiB resident")
    print(f"with the libraries       {rss_mib(f'import {libraries}'):8.1f} MiB")
    print(f"with our modules         {rss_mib('import masticspoke'):8.1f} MiB")


def print_states() -> None:
    """Print memory per member and catalogue entry, and the time of a merge."""
    hints: Callable[[int], HintsState] = lambda n: merge(  # noqa: E731
        HintsState(), (member_hint(member(i)) for i in range(n))
    )
    print(
        f"member known             {bytes_per_unit(hints, 15_000):8.0f} bytes of memory"
    )
    print(f"catalogue entry          {bytes_per_unit(catalogue, 5_000):8.0f} bytes")
    large = hints(15_000)
    added_hint = member_hint(member(15_001))
    cost = cpu_us_per_call(lambda: merge(large, (added_hint,)), 20)
    print(f"merge at 15,000 members  {cost:8.0f} us")
    small = hints(20)
    print(
        "merge at 20 members      "
        f"{cpu_us_per_call(lambda: merge(small, (added_hint,))):8.1f} us"
    )


def print_records() -> None:
    """Print the sizes of records, digests and a catalogue, with some decode times."""
    sample = member(77)
    change = Change("0" * 16, 1, catalogue(100).catalogue, "operator")
    values: dict[str, RecordValue] = {
        "joined": Joined(sample),
        "left": Left(sample.node, sample.incarnation),
        "change, 100 entries": change,
    }
    for name, value in values.items():
        data = encode_record(value)
        cost = cpu_us_per_call(lambda data=data: decode_record(data), 500)  # type: ignore[misc]
        print(f"record {name:19} {len(data):6} bytes {cost:8.1f} us to read")
    size = len(encode_catalogue(catalogue(100)))
    print(f"catalogue of 100 entries {size:8} bytes between nodes")
    for update_count in (0, 10):
        updates = tuple(member_hint(member(i)) for i in range(update_count))
        body = encode_digest(Digest(sample.node, 1, 0, updates))
        cost = cpu_us_per_call(lambda body=body: decode_digest(body))  # type: ignore[misc]
        print(
            f"digest with {update_count:2} updates   {len(body):8} bytes"
            f" {cost:8.1f} us to read"
        )


def print_idle_fleets() -> None:
    """Print processor time, I/O and memory of an idle node, in fleets of two sizes."""
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
            cpu_s = sum(a[0] - b[0] for a, b in zip(after, before, strict=True))
            io_bytes = sum(a[1] - b[1] for a, b in zip(after, before, strict=True))
            mean_rss_mib = sum(_rss_mib(p) for p in pids) / size
            print(
                f"idle node, fleet of {size:3} "
                f" {cpu_s / size / IDLE_S * 100:8.2f} % of a core"
                f" {io_bytes / size / IDLE_S / 1000:8.2f} KB/s read and written"
                f" {mean_rss_mib:8.1f} MiB resident"
            )


def _cpu_s(pid: int) -> float:
    """Return the user and system time of a process, at 100 clock ticks a second."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / 100


def _io_bytes(pid: int) -> int:
    """Return ``rchar`` plus ``wchar``: the bytes of all read and write calls."""
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines[:2])


def _rss_mib(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / 1024


def main() -> int:
    """Print all figures."""
    print_base()
    print_states()
    print_records()
    print_idle_fleets()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
