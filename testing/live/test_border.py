"""What the border keeps from the path of a request."""

from __future__ import annotations

import json
import re
import socket
from collections.abc import Iterator

import pytest
from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import Server

CATALOGUE = ROOT / "examples" / "kerala-south.ini"
GET = b"GET /inspections/1 HTTP/1.1\r\nHost: x\r\n"
POST = b"POST /bookings HTTP/1.1\r\nHost: x\r\n"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("hostile")) as started:
        started.add("a", "inspect-desk", "kochi-a")
        started.add("b", "tooling-desk", "kochi-a")
        started.apply(CATALOGUE)
        started.wait_ready()
        yield started


@pytest.fixture
def front(fleet: Fleet) -> Iterator[Server]:
    server = fleet.servers[0]
    yield server
    for node in fleet.servers:
        assert node.node is not None
        assert node.node.poll() is None
        assert http("GET", f"{node.url}/inspections/1")[0] == 200
        assert http("POST", f"{node.url}/bookings", b"{}")[0] == 200


def exchange(port: int, *parts: bytes, timeout_s: float = 10.0) -> bytes:
    """Return the node's first answer."""
    answer = b""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout_s) as client:
        for part in parts:
            client.sendall(part)
        try:
            while not is_whole(answer) and (chunk := client.recv(65_536)):
                answer += chunk
        except ConnectionResetError:
            pass
    return answer


def is_whole(answer: bytes) -> bool:
    head, end, body = answer.partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    return bool(end) and length is not None and len(body) >= int(length[1])


def problem(answer: bytes) -> tuple[int, str, str]:
    head, _, body = answer.partition(b"\r\n\r\n")
    found = json.loads(body)
    return int(head.split()[1]), found["reason"], found["ran"]


def test_half_a_body_is_refused_at_the_deadline_as_not_run(front: Server) -> None:
    head = POST + b"Masticspoke-Deadline-Ms: 200\r\nContent-Length: 100\r\n\r\n"
    answer = exchange(front.client_port, head, b"only this")
    assert problem(answer) == (504, "deadline-passed", "no")


@pytest.mark.parametrize(
    "target", [b"@10.0.0.1/", b"http://10.0.0.1/inspections/1", b"*"]
)
def test_target_that_is_not_a_path_is_refused(front: Server, target: bytes) -> None:
    head = b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n"
    assert b" 400 " in exchange(front.client_port, head + b"\r\n")[:20]
    call = b'Masticspoke-Call: {"a":"x"}\r\n\r\n'
    assert b" 400 " in exchange(front.peer_port, head + call)[:20]


def test_chunked_garbage_is_refused_and_suspects_no_one(front: Server) -> None:
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(3):
        answer = exchange(front.client_port, head, b"5\r\nabcde\r\n", b"zz\r\ngarbage")
        assert b" 400 " in answer.partition(b"\r\n")[0], answer[:300]


def test_request_that_comes_back_to_its_node_is_a_loop(front: Server) -> None:
    via = f"Via: 1.1 proxy, 1.1 127.0.0.1:{front.peer_port}\r\n\r\n".encode()
    assert problem(exchange(front.client_port, GET + via)) == (508, "loop", "no")


def test_long_list_of_suspects_is_not_read(front: Server) -> None:
    body = b"[" + b"1," * 5_000_000 + b"1]"
    head = b"POST /.masticspoke/suspects HTTP/1.1\r\nHost: x\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    answer = exchange(front.peer_port, head + length, body)
    assert problem(answer) == (400, "malformed", "no")


def test_client_and_backend_server_put_in_no_header_of_the_system(
    front: Server,
) -> None:
    fields = b"".join(
        b"Masticspoke-%s: 1\r\n" % name
        for name in (b"Call", b"Report", b"Refused", b"Ran", b"Anything")
    )
    answer = exchange(front.client_port, GET + fields + b"Connection: close\r\n\r\n")
    head, _, body = answer.partition(b"\r\n\r\n")
    seen = {n for n in json.loads(body)["headers"] if n.startswith("Masticspoke-")}
    assert seen == {"Masticspoke-Deadline-Ms"}
    assert b"Masticspoke" not in head
