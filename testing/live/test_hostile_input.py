"""A node refuses malformed and hostile requests, and both nodes keep serving others."""

from __future__ import annotations

import json
import re
import socket
import time
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
    """Yield the node under test. Afterwards, check that all nodes still serve."""
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
    body_fields = json.loads(body)
    return int(head.split()[1]), body_fields["reason"], body_fields["ran"]


def test_incomplete_head_does_not_block_other_requests(front: Server) -> None:
    with socket.create_connection(("127.0.0.1", front.client_port)) as client:
        client.sendall(GET)
        assert http("GET", f"{front.url}/inspections/1")[0] == 200


def test_incomplete_body_is_refused_at_the_deadline_as_not_run(front: Server) -> None:
    head = POST + b"Masticspoke-Deadline-Ms: 200\r\nContent-Length: 100\r\n\r\n"
    answer = exchange(front.client_port, head, b"only this")
    assert problem(answer) == (504, "deadline-passed", "no")


@pytest.mark.parametrize(
    "head",
    [
        pytest.param(GET + b"X: y\r\n" * 100_000 + b"\r\n", id="100,000 headers"),
        pytest.param(GET + b"X: " + b"y" * 100_000 + b"\r\n\r\n", id="long header"),
        pytest.param(
            POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            id="length and chunked",
        ),
        pytest.param(
            POST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            id="two lengths",
        ),
        pytest.param(POST + b"Content-Length: -1\r\n\r\n", id="negative length"),
        pytest.param(
            POST + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
            id="unknown transfer coding",
        ),
        pytest.param(b"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", id="space in the path"),
        pytest.param(b"GET @10.0.0.1/ HTTP/1.1\r\nHost: x\r\n\r\n", id="no path"),
        pytest.param(b"\x16\x03\x01\x02\x00garbage\r\n\r\n", id="not HTTP"),
        pytest.param(
            b"GET http://10.0.0.1/inspections/1 HTTP/1.1\r\nHost: x\r\n\r\n",
            id="another server's URL",
        ),
    ],
)
def test_malformed_request_is_refused(front: Server, head: bytes) -> None:
    answer = exchange(front.client_port, head)
    assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.0 400")), answer[:200]


def test_body_longer_than_its_length_is_refused(front: Server) -> None:
    head = POST + b"Content-Length: 2\r\n\r\n"
    answer = exchange(front.client_port, head + b"{}surplus\r\n\r\n")
    assert answer.startswith(b"HTTP/1.0 400")


def test_malformed_chunk_is_refused_and_not_quarantined(front: Server) -> None:
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(3):
        answer = exchange(front.client_port, head, b"5\r\nabcde\r\n", b"zz\r\ngarbage")
        assert b" 400 " in answer.partition(b"\r\n")[0], answer[:300]


def test_malformed_chunk_in_a_later_segment_is_answered_400(front: Server) -> None:
    head = b"Masticspoke-Deadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\n"
    address = ("127.0.0.1", front.client_port)
    with socket.create_connection(address, timeout=10) as client:
        client.sendall(POST + head + b"5\r\nabcde\r\n")
        time.sleep(0.2)
        client.sendall(b"zz\r\ngarbage")
        answer = client.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 400 "), answer
    assert http("GET", f"{front.url}/inspections/1")[0] == 200


@pytest.mark.parametrize(
    "value", ["-5", "0", "abc", "1e9", "99999999999999999999", "1.5", "²", " "]
)
def test_invalid_deadline_is_refused(front: Server, value: str) -> None:
    field = f"Masticspoke-Deadline-Ms: {value}\r\n\r\n".encode()
    answer = exchange(front.client_port, GET + field)
    assert problem(answer) == (400, "malformed", "no")


def test_unknown_kind_is_refused(front: Server) -> None:
    answer = exchange(front.client_port, b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")
    assert problem(answer) == (404, "unknown-kind", "no")


def test_request_that_comes_back_to_its_node_is_a_loop(front: Server) -> None:
    via = f"Via: 1.1 proxy, 1.1 127.0.0.1:{front.peer_port}\r\n\r\n".encode()
    assert problem(exchange(front.client_port, GET + via)) == (508, "loop", "no")


@pytest.mark.parametrize("path", ["backend", "gossip", "suspects", "probe"])
def test_body_of_ten_megabytes_is_refused(front: Server, path: str) -> None:
    body = b"[" + b"1," * 5_000_000 + b"1]"
    port = front.backend_port if path == "backend" else front.peer_port
    method = "PUT" if path == "backend" else "POST"
    head = f"{method} /.masticspoke/{path} HTTP/1.1\r\nHost: x\r\n"
    length = f"Content-Length: {len(body)}\r\n\r\n"
    answer = exchange(port, (head + length).encode(), body)
    assert problem(answer) == (400, "malformed", "no")
    chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    answer = exchange(
        port, (head + "Transfer-Encoding: chunked\r\n\r\n").encode(), chunk
    )
    assert problem(answer) == (400, "malformed", "no")


@pytest.mark.parametrize("call", ["", "{}", '{"a": 1}', "[" * 5000, '{"d": -1}'])
def test_malformed_call_on_the_peer_port_is_refused(front: Server, call: str) -> None:
    field = f"Masticspoke-Call: {call}\r\n\r\n".encode()
    answer = exchange(front.peer_port, GET + field)
    assert problem(answer) == (400, "malformed", "no")


def test_announcement_of_an_unknown_service_is_refused(
    fleet: Fleet, front: Server
) -> None:
    members = front.status()["members"]
    body = {
        "service": "no-such-service",
        "address": "127.0.0.1:9",
        "slots": 1,
        "connections": 1,
    }
    url = f"http://127.0.0.1:{front.backend_port}/.masticspoke/backend"
    code, answer = http("PUT", url, json.dumps(body).encode())
    assert (code, json.loads(answer)["reason"]) == (422, "unknown-service")
    assert front.status()["members"] == members
    assert http("GET", f"{front.url}/inspections/1")[0] == 200


def test_reserved_headers_of_a_client_are_dropped_and_the_answer_has_none(
    front: Server,
) -> None:
    fields = b"".join(
        b"Masticspoke-%s: 1\r\n" % name
        for name in (b"Call", b"Report", b"Refused", b"Ran", b"Anything")
    )
    answer = exchange(front.client_port, GET + fields + b"Connection: close\r\n\r\n")
    head, _, body = answer.partition(b"\r\n\r\n")
    forwarded = {n for n in json.loads(body)["headers"] if n.startswith("Masticspoke-")}
    assert forwarded == {"Masticspoke-Deadline-Ms"}
    assert b"Masticspoke" not in head


@pytest.mark.parametrize(
    "target", [b"@10.0.0.1/", b"http://10.0.0.1/inspections/1", b"*"]
)
def test_target_that_is_not_a_path_is_refused(front: Server, target: bytes) -> None:
    head = b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n"
    assert b" 400 " in exchange(front.client_port, head + b"\r\n")[:20]
    call = b'Masticspoke-Call: {"a":"x"}\r\n\r\n'
    assert b" 400 " in exchange(front.peer_port, head + call)[:20]


def test_long_list_of_suspects_is_refused(front: Server) -> None:
    body = b"[" + b"1," * 5_000_000 + b"1]"
    head = b"POST /.masticspoke/suspects HTTP/1.1\r\nHost: x\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    answer = exchange(front.peer_port, head + length, body)
    assert problem(answer) == (400, "malformed", "no")
