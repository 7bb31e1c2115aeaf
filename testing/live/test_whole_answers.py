from __future__ import annotations

import http.client
import socket
import urllib.error
from pathlib import Path

import pytest
from testing.live.fleet import Fleet
from testing.live.fleet import http as send
from testing.live.fleet import ROOT
from testing.live.fleet import Server
from testing.live.fleet import wait_until

TRUNCATION_ERRORS = (http.client.IncompleteRead, ConnectionError, urllib.error.URLError)
CATALOGUE = ROOT / "examples" / "kerala-south.ini"
MIB = 2**20


def start_fleet(fleet: Fleet, *, vault_count: int) -> Server:
    """Start a front node of another service, and ``vault_count`` archive servers."""
    front = fleet.add("front", "batch-board", "kochi-a")
    for number in range(vault_count):
        fleet.add(f"vault{number}", "audit-vault", "kochi-a")
    fleet.apply(CATALOGUE)
    fleet.wait_ready()
    return front


def expected_body(size: int) -> bytes:
    return (bytes(range(251)) * (size // 251 + 1))[:size]


def test_rest_of_an_interrupted_answer_comes_from_another_server(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path) as fleet:
        front = start_fleet(fleet, vault_count=2)
        size = 4 * MIB
        query = f"size={size}&etag=v1&die_at={MIB}&chunk_ms=1"
        code, body = send("GET", f"{front.url}/archives/1?{query}")
        assert code == 200
        assert body == expected_body(size)
        vaults = [s for s in fleet.servers if s is not front]
        exit_codes = [s.backend.poll() for s in vaults if s.backend]
        assert sorted(exit_codes, key=str) == [9, None]


@pytest.mark.parametrize("query", ["", "&chunked=1"])
def test_interrupted_answer_without_ranges_does_not_look_complete(
    tmp_path: Path, query: str
) -> None:
    with Fleet(tmp_path) as fleet:
        front = start_fleet(fleet, vault_count=2)
        url = f"{front.url}/archives/1?size={4 * MIB}&die_at={MIB}&chunk_ms=1{query}"
        with pytest.raises(TRUNCATION_ERRORS):
            send("GET", url)
        assert send("GET", f"{front.url}/batches/1")[0] == 200


def test_deadline_covers_the_whole_answer(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        front = start_fleet(fleet, vault_count=1)
        url = f"{front.url}/archives/1?size={64 * MIB}&chunk_ms=20"
        with pytest.raises(TRUNCATION_ERRORS):
            send("GET", url, headers={"Masticspoke-Deadline-Ms": "500"})
        wait_until(lambda: idle(fleet.servers[1]), 5, "the run is cancelled")


def test_run_is_cancelled_when_the_client_disconnects(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        front = start_fleet(fleet, vault_count=1)
        with socket.create_connection(("127.0.0.1", front.client_port)) as client:
            client.sendall(
                b"GET /archives/1?latency_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            wait_until(lambda: not idle(fleet.servers[1]), 5, "the run starts")
        wait_until(lambda: idle(fleet.servers[1]), 5, "the run is cancelled")


def idle(server: Server) -> bool:
    url = f"http://127.0.0.1:{server.server_port}/runs"
    return b'"running": 0' in send("GET", url)[1]
