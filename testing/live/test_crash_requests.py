from __future__ import annotations

import json
from pathlib import Path

from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import Server
from testing.live.fleet import wait_until

CATALOGUE = ROOT / "examples" / "kerala-south.ini"


def exited_backends(servers: list[Server]) -> int:
    codes = [s.backend.poll() for s in servers if s.backend is not None]
    return sum(code is not None for code in codes)


def serves(server: Server) -> bool:
    return http("GET", f"{server.url}/inspections/1")[0] == 200


def test_crash_request_ends_two_backend_servers_however_often_it_is_sent(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path) as fleet:
        servers = [
            fleet.add(name, "inspect-desk", zone)
            for name, zone in [("a", "kochi-a"), ("b", "kochi-b"), ("c", "alappuzha-a")]
        ]
        fleet.apply(CATALOGUE)
        fleet.wait_ready()

        answers = []
        for number in range(9):
            front = servers[number % 3]
            code, body = http("GET", f"{front.url}/inspections/7?crash=1")
            answers.append((code, json.loads(body)["reason"]))

        assert exited_backends(servers) == 2, answers
        assert answers[-1] == (422, "quarantined")

        for server in servers:
            if server.backend is not None and server.backend.poll() is not None:
                fleet.start_backend(server)
        wait_until(lambda: all(serves(s) for s in servers), 10, "all serve again")
        for server in servers:
            code, body = http("GET", f"{server.url}/inspections/7?crash=1")
            assert (code, json.loads(body)["reason"]) == (422, "quarantined")
        assert exited_backends(servers) == 0
