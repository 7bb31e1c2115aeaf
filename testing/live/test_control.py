from __future__ import annotations

import json
import signal
import time
from pathlib import Path

from testing.live.fleet import Fleet
from testing.live.fleet import free_port
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import Server
from testing.live.fleet import wait_until
from testing.standins.log_service import OFFSET_RANGE
from testing.standins.log_service import split_records

from _masticspoke.border.records import decode_membership
from _masticspoke.decisions.streams import MembersReplay
from _masticspoke.decisions.streams import new_members_replay
from _masticspoke.decisions.streams import read_members

CATALOGUE = ROOT / "examples" / "kerala-south.ini"


def kill(server: Server) -> None:
    for process in (server.node, server.backend):
        assert process is not None
        process.kill()
        process.wait()


def event_count(folder: Path, name: str, event: str) -> int:
    text = (folder / f"node-{name}.log").read_text()
    return sum(event in line for line in text.splitlines())


def member_services(server: Server) -> list[str]:
    members = server.status()["members"]
    return sorted(m["service"] for m in members)  # type: ignore[attr-defined]


def test_node_started_during_a_log_outage_gets_its_state_from_peers(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.add("a", "inspect-desk", "kochi-a")
        fleet.add("b", "batch-board", "kochi-b")
        fleet.apply(CATALOGUE)
        fleet.wait_ready()

        fleet.log_faults(down=True)
        late = fleet.add("c", "tooling-desk", "kochi-a")

        wait_until(
            lambda: len(member_services(late)) == 3, 10, "new node knows all members"
        )
        wait_until(
            lambda: len(member_services(first)) == 3, 10, "others know the new node"
        )
        wait_until(
            lambda: late.status()["catalogue_version"] == 1, 10, "catalogue from peers"
        )
        assert http("GET", f"{late.url}/inspections/1")[0] == 200
        assert http("POST", f"{first.url}/bookings", b"{}")[0] == 200

        # While the log is down, the nodes agree to remove a silent member.
        kill(late)
        wait_until(
            lambda: member_services(first) == ["batch-board", "inspect-desk"],
            15,
            "silent member is removed",
        )

        # The restarted node has no state; it gets members and catalogue from peers.
        fleet.start_node(late)
        fleet.start_backend(late)
        wait_until(
            lambda: len(member_services(late)) == len(member_services(first)) == 3,
            15,
            "restarted node is a member",
        )
        assert http("GET", f"{late.url}/inspections/1")[0] == 200

        fleet.log_faults(down=False)
        wait_until(
            lambda: event_count(tmp_path, "a", "E2102") == 1, 10, "log answers again"
        )
        assert event_count(tmp_path, "a", "E2101") == 1


def member_incarnation(server: Server, other: Server) -> str:
    node = {"host": "127.0.0.1", "port": other.peer_port}
    members = server.status()["members"]
    matches = [m["incarnation"] for m in members if m["node"] == node]  # type: ignore[attr-defined]
    return matches[0] if matches else ""


def test_paused_node_is_removed_and_rejoins_as_a_new_incarnation(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.add("a", "inspect-desk", "kochi-a")
        fleet.add("b", "batch-board", "kochi-b")
        paused = fleet.add("c", "batch-board", "kochi-a")
        fleet.apply(CATALOGUE)
        fleet.wait_ready()
        before = member_incarnation(first, paused)
        assert paused.node is not None

        paused.node.send_signal(signal.SIGSTOP)
        wait_until(
            lambda: not member_incarnation(first, paused), 15, "paused node is removed"
        )
        paused.node.send_signal(signal.SIGCONT)

        wait_until(
            lambda: member_incarnation(first, paused) > before,
            15,
            "paused node rejoins",
        )
        fleet.wait_ready()


def test_catalogue_reaches_a_node_that_reaches_only_peers(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        fleet.add("a", "inspect-desk", "kochi-a")
        fleet.add("b", "batch-board", "kochi-b")
        log_port, fleet.log_port = fleet.log_port, free_port()
        fleet.add("c", "tooling-desk", "kochi-a")
        fleet.log_port = log_port
        fleet.apply(CATALOGUE)
        fleet.wait_ready(1, timeout_s=10)

        versions: dict[str, list[int]] = {s.name: [] for s in fleet.servers}

        def newest_in_force_everywhere() -> bool:
            for server in fleet.servers:
                version = server.status()["catalogue_version"]
                versions[server.name].append(version)  # type: ignore[arg-type]
            return all(history[-1] == 4 for history in versions.values())

        for _ in range(3):
            fleet.apply(CATALOGUE)
        wait_until(newest_in_force_everywhere, 10, "version 4 in force, from peers too")
        assert all(history == sorted(history) for history in versions.values())


def read_records(
    fleet: Fleet, stream: str, start: int
) -> tuple[int, list[tuple[int, bytes]]]:
    """Return a stream's oldest offset, and (offset, record) from ``start`` on."""
    query = f"topic={stream}&part=0&from={start}"
    status, body = http("GET", f"http://127.0.0.1:{fleet.log_port}/log-read?{query}")
    if status == 410:
        return read_records(fleet, stream, json.loads(body)["first_offset"])
    _, oldest = OFFSET_RANGE.unpack_from(body)
    return oldest, list(enumerate(split_records(body[OFFSET_RANGE.size :]), start))


def read_members_stream(fleet: Fleet, replay: MembersReplay) -> MembersReplay:
    oldest, entries = read_records(fleet, "members", replay.read_through + 1)
    values = [(offset, decode_membership(data)) for offset, data in entries]
    return read_members(replay, oldest, values).replay


def test_state_survives_lost_answers_an_append_limit_and_short_retention(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path, log_settings="snapshot_records = 6\n") as fleet:
        fleet.log_faults(retained_records=40, lose_append_answers=3, appends_per_s=10)
        fleet.add("a", "inspect-desk", "kochi-a")
        fleet.add("b", "batch-board", "kochi-b")
        fleet.add("c", "tooling-desk", "kochi-a")
        fleet.apply(CATALOGUE)
        fleet.wait_ready()
        continuous = read_members_stream(fleet, new_members_replay())
        restarted = fleet.servers[1]
        url = f"http://127.0.0.1:{restarted.backend_port}/.masticspoke/backend"
        number = 0
        # Announce changed slots until the log has dropped its first 10 records.
        while read_records(fleet, "members", 0)[0] < 10:
            number += 1
            assert number < 200
            body = {"service": "batch-board", "slots": number, "connections": 1}
            body |= {"address": f"127.0.0.1:{restarted.server_port}", "ttl_ms": 60_000}
            http("PUT", url, json.dumps(body).encode())
            time.sleep(0.1)
            continuous = read_members_stream(fleet, continuous)
        fleet.log_faults(lose_append_answers=2)
        for _ in range(2):
            fleet.apply(CATALOGUE)
        fleet.wait_ready(3)

        def late_reader_has_same_views() -> bool:
            late = read_members_stream(fleet, new_members_replay())
            expected = read_members_stream(fleet, continuous)
            assert expected.complete
            return late.complete and late.state == expected.state

        wait_until(late_reader_has_same_views, 15, "a late reader finds the same views")
        shown = fleet.command(
            "catalogue", "show", "--log", f"127.0.0.1:{fleet.log_port}"
        )
        assert shown.stdout.startswith("# version 3,")


def test_backend_server_that_stops_renewing_expires_and_rejoins(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.add("a", "inspect-desk", "kochi-a")
        silent = fleet.add("b", "batch-board", "kochi-b", ttl_ms=600)
        fleet.apply(CATALOGUE)
        fleet.wait_ready()
        fleet.log_faults(down=True)
        assert silent.backend is not None

        silent.backend.send_signal(signal.SIGSTOP)
        wait_until(
            lambda: member_services(first) == ["inspect-desk"],
            10,
            "silent backend server is removed",
        )
        assert event_count(tmp_path, "b", "E3003") == 1
        silent.backend.send_signal(signal.SIGCONT)

        wait_until(lambda: len(member_services(first)) == 2, 10, "it is a member again")
