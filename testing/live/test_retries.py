from __future__ import annotations

import json
from collections.abc import Iterator

import pytest
from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import Server

CATALOGUE = ROOT / "examples" / "kerala-south.ini"
INSPECTION_RETRIES = 2
BOARD_RETRIES = 1


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("retries")) as started:
        started.add("front", "inspect-desk", "kochi-a", child="/batches/7")
        for name in ("b", "c", "d"):
            started.add(name, "batch-board", "kochi-a", shed=1)
        started.apply(CATALOGUE)
        started.wait_ready()
        yield started


def total(servers: list[Server], name: str) -> int:
    bodies = [
        http("GET", f"http://127.0.0.1:{server.server_port}/runs")[1]
        for server in servers
    ]
    return sum(json.loads(body)[name] for body in bodies)


def send_and_count(fleet: Fleet, path: str, key: str = "") -> tuple[int, int]:
    """Return the status of a request, and how many requests the boards got for it."""
    front, *boards = fleet.servers
    before = total(boards, "shed")
    headers = {"Idempotency-Key": key} if key else {}
    code, _ = http("GET", f"{front.url}{path}", headers=headers)
    return code, total(boards, "shed") - before


def test_nested_calls_share_the_allowance_of_the_whole_tree(fleet: Fleet) -> None:
    served = total(fleet.servers[:1], "served")
    code, attempts = send_and_count(fleet, "/inspections/1")
    assert code == 503
    assert 1 < attempts <= 1 + INSPECTION_RETRIES
    # The answer of a backend server whose nested request was refused is not retried.
    assert total(fleet.servers[:1], "served") == served + 1


def test_refused_root_call_uses_its_own_allowance(fleet: Fleet) -> None:
    assert send_and_count(fleet, "/batches/1") == (503, 1 + BOARD_RETRIES)


def test_resends_of_the_client_use_the_same_allowance(fleet: Fleet) -> None:
    attempts = [send_and_count(fleet, "/batches/1", key="tap")[1] for _ in range(6)]
    assert sum(attempts) <= 1 + BOARD_RETRIES
