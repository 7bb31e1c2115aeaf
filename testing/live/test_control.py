from __future__ import annotations

from pathlib import Path

from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import Server
from testing.live.fleet import wait_until

CATALOGUE = ROOT / "examples" / "kerala-south.ini"


def kill(server: Server) -> None:
    for process in (server.node, server.backend):
        assert process is not None
        process.kill()
        process.wait()


def logged(folder: Path, name: str, event: str) -> int:
    text = (folder / f"node-{name}.log").read_text()
    return sum(event in line for line in text.splitlines())


def services(server: Server) -> list[str]:
    members = server.status()["members"]
    return sorted(m["service"] for m in members)  # type: ignore[attr-defined]


def test_node_started_during_an_outage_learns_from_its_peers_and_serves(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.add("a", "inspect-desk", "kochi-a")
        fleet.add("b", "batch-board", "kochi-b")
        fleet.apply(CATALOGUE)
        fleet.wait_ready()

        fleet.log_faults(down=True)
        late = fleet.add("c", "tooling-desk", "kochi-a")

        wait_until(lambda: len(services(late)) == 3, 10, "new node knows all")
        wait_until(lambda: len(services(first)) == 3, 10, "others know the new one")
        wait_until(
            lambda: late.status()["catalogue_version"] == 1, 10, "catalogue from peers"
        )
        assert http("GET", f"{late.url}/inspections/1")[0] == 200
        assert http("POST", f"{first.url}/bookings", b"{}")[0] == 200

        # Death by silence is agreed between nodes while the log is down.
        kill(late)
        wait_until(
            lambda: services(first) == ["batch-board", "inspect-desk"],
            15,
            "silent member is left out",
        )

        # The same node without memory: its members and catalogue come from peers.
        fleet.start_node(late)
        fleet.start_backend(late)
        wait_until(
            lambda: len(services(late)) == len(services(first)) == 3, 15, "back again"
        )
        assert http("GET", f"{late.url}/inspections/1")[0] == 200

        fleet.log_faults(down=False)
        wait_until(lambda: logged(tmp_path, "a", "E2102") == 1, 10, "log is back")
        assert logged(tmp_path, "a", "E2101") == 1
