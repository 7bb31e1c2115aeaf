"""A single node refuses malformed and hostile input and keeps serving others."""

from __future__ import annotations

import json
import re
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import Server
from testing.live.fleet import wait_until

from _masticspoke.decisions.classify import MAX_DEPTH

CLOSE = b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
GET = b"GET /inspections/1" + CLOSE
POST = b"POST /bookings" + CLOSE
LOOP_OUTCOMES = ((508, "loop"), (504, "deadline-passed"))
MALFORMED = {
    "many headers": GET + b"".join(b"x-%d: 1\r\n" % i for i in range(100_000)),
    "long header": GET + b"x: " + b"a" * 1_000_000 + b"\r\n",
    "control byte": b"GET /inspections/1 HTTP/1.1\r\nHo\x00st: x\r\n",
    "malformed chunk": POST + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\nabc",
    "length and chunked": POST
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
    "two lengths": POST + b"Content-Length: 1\r\nContent-Length: 2\r\n",
    "negative length": POST + b"Content-Length: -1\r\n",
    "signed length": POST + b"Content-Length: +1\r\n",
    "folded header": GET + b"x: 1\r\n y: 2\r\n",
    "space before colon": POST + b"Content-Length : 4\r\n",
    "unknown transfer coding": POST + b"Transfer-Encoding: xchunked\r\n",
}


@pytest.fixture(scope="module")
def server(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Server]:
    folder: Path = tmp_path_factory.mktemp("fleet")
    with Fleet(folder) as fleet:
        added = fleet.add("a", "inspect-desk", "kochi-a", child="/inspections/2")
        fleet.apply(ROOT / "examples" / "kerala-south.ini")
        fleet.wait_ready()
        yield added


def exchange(port: int, sent: bytes, *, half_close: bool = False) -> bytes:
    """Return all bytes that the node sends before it closes the connection."""
    received = bytearray()
    with socket.create_connection(("127.0.0.1", port), timeout=10) as connection:
        try:
            connection.sendall(sent)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65_536):
                received += chunk
        except (ConnectionError, BrokenPipeError):
            pass
    return bytes(received)


def refusal_count(server: Server, reason: str) -> int:
    url = f"http://127.0.0.1:{server.peer_port}/.masticspoke/metrics"
    text = http("GET", url)[1].decode()
    pattern = rf'^masticspoke_refusals_total.*reason="{reason}"\}} (\d+)$'
    return sum(int(n) for n in re.findall(pattern, text, re.MULTILINE))


def serves_others(server: Server) -> bool:
    return http("GET", f"{server.url}/nothing")[0] == 404


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_request_is_refused_and_counted(server: Server, name: str) -> None:
    before = refusal_count(server, "malformed")

    answer = exchange(server.client_port, MALFORMED[name] + b"\r\n")

    assert re.match(rb"HTTP/1.[01] 4\d\d ", answer), answer[:80]
    assert answer.count(b"HTTP/1.") == 1
    wait_until(lambda: refusal_count(server, "malformed") > before, 5, "counted")
    assert serves_others(server)


def test_incomplete_request_does_not_run(server: Server) -> None:
    assert exchange(server.client_port, GET, half_close=True) == b""
    sign_off = POST.replace(b"/bookings", b"/sign-offs")
    incomplete = sign_off + b"Idempotency-Key: half\r\nContent-Length: 9\r\n\r\nab"
    assert exchange(server.client_port, incomplete, half_close=True) == b""
    assert "half" not in server.runs()
    assert serves_others(server)


def test_body_longer_than_its_length_is_not_part_of_the_request(server: Server) -> None:
    head = POST.replace(b"Connection: close\r\n", b"")

    answer = exchange(
        server.client_port, head + b"Content-Length: 2\r\n\r\n{}GARBAGE\r\n\r\n"
    )

    # 503: no backend server offers bookings here. 400: the surplus is not a request.
    statuses = re.findall(rb"^HTTP/1\.[01] (\d+)", answer, re.MULTILINE)
    assert statuses in ([b"503", b"400"], [b"400"])


@pytest.mark.parametrize("value", ["-5", "0", "1e3", "99999999999999", "", "٣"])
def test_invalid_deadline_is_refused(server: Server, value: str) -> None:
    before = refusal_count(server, "malformed")
    header = f"Masticspoke-Deadline-Ms: {value}\r\n\r\n".encode()

    answer = exchange(server.client_port, GET + header)

    assert answer.startswith(b"HTTP/1.1 400 ")
    wait_until(lambda: refusal_count(server, "malformed") > before, 5, "counted")


def test_request_that_comes_back_to_its_own_service_ends(server: Server) -> None:
    code, body = http("GET", f"{server.url}/inspections/1")

    # If the guard's limit is below the depth at which a loop is detected, the
    # innermost call waits for its ancestors until the deadline.
    assert (code, json.loads(body)["reason"]) in LOOP_OUTCOMES
    assert serves_others(server)


def test_call_deeper_than_the_bound_is_refused_as_a_loop(server: Server) -> None:
    before = refusal_count(server, "loop")
    call = {"a": "0" * 32, "k": "inspection-read", "s": "inspect-desk", "r": 1}
    call |= {"d": 2_000, "i": True, "h": MAX_DEPTH - 1}
    url = f"http://127.0.0.1:{server.peer_port}/inspections/1"

    code, body = http("GET", url, headers={"Masticspoke-Call": json.dumps(call)})

    assert (code, json.loads(body)["reason"]) == (508, "loop")
    wait_until(lambda: refusal_count(server, "loop") == before + 1, 5, "counted")


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("target", ["POST gossip", "POST probe", "PUT backend"])
def test_control_request_of_ten_megabytes_is_refused(
    server: Server, target: str, chunked: bool
) -> None:
    method, path = target.split()
    port = server.backend_port if path == "backend" else server.peer_port
    body = b'{"a": "' + b"x" * 10_000_000 + b'"}'
    framing = b"Content-Length: %d\r\n\r\n" % len(body)
    if chunked:
        framing = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
        body += b"\r\n0\r\n\r\n"
    head = f"{method} /.masticspoke/{path}".encode() + CLOSE

    answer = exchange(port, head + framing + body)

    assert re.match(rb"HTTP/1.1 4\d\d |$", answer), answer[:80]
    assert serves_others(server)


def test_malformed_call_header_from_a_peer_is_refused(server: Server) -> None:
    url = f"http://127.0.0.1:{server.peer_port}/inspections/1"

    for value in ("", "{", '{"a": 1}', "[" * 5_000):
        code, body = http("GET", url, headers={"Masticspoke-Call": value})
        assert (code, json.loads(body)["reason"]) == (400, "malformed")
