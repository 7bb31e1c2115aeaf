"""Stand-in for a backend server that speaks the platform's published protocol.

It runs in the event loop of the test.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import aiohttp
from aiohttp import web

HEALTH_PATH = "/health"
LONG_BODY = bytes(range(256)) * 8_192


@dataclass
class Arrival:
    request_id: str
    path: str
    body: bytes
    deadline_ms: int
    caller: str
    headers: dict[str, str]
    cancelled: bool = False


@dataclass
class PlatformBackend:
    """One incarnation of a backend server.

    :param run_s: duration of each run.
    :param born: start of the incarnation, Unix time in milliseconds.
    :param notice: headers in which the server names a rate limit or its leaving.
    :param started_at: time of each arrival that it ran, on the event loop's clock.
    :param endless_bytes: bytes sent in answers without end.
    :param faults: keys of ``FAULTS``, or ``shed``, for the next requests in order.
    :param arrivals: the requests that it ran.
    :param healthy: result of its health check.
    :param requests: number of requests received for this instance, including those
        that it shed.
    """

    host: str
    port: int
    service: str
    instance: str
    run_s: float = 0.0
    slots: int = 10
    born: int = 1_000
    notice: dict[str, str] = field(default_factory=dict)
    started_at: list[float] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    running: int = 0
    endless_bytes: int = 0
    requests: int = 0
    healthy: bool = True
    health_checks: int = 0
    sequence: int = 0
    runner: web.ServerRunner | None = None

    async def start(self) -> None:
        server = web.Server(self.handle, handler_cancellation=True)
        self.runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, self.host, self.port).start()

    async def stop(self) -> None:
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers.get("X-Attempt-Id", "")
        if request.path == HEALTH_PATH:
            self.health_checks += 1
            names = {"X-Instance-Id": self.instance}
            return web.Response(status=200 if self.healthy else 503, headers=names)
        if request.headers.get("X-Expected-Instance") != self.instance:
            return web.Response(status=421, headers={"X-Instance-Id": self.instance})
        self.requests += 1
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "shed":
            return web.Response(status=503, headers={"X-Not-Executed": "1"})
        arrival = Arrival(
            request_id,
            request.raw_path,
            await request.read(),
            int(request.headers["X-Deadline-Ms"]),
            request.headers["X-Caller-Service"],
            {name.lower(): value for name, value in request.headers.items()},
        )
        self.arrivals.append(arrival)
        self.started_at.append(asyncio.get_running_loop().time())
        self.running += 1
        try:
            await asyncio.sleep(self.run_s)
        except asyncio.CancelledError:
            arrival.cancelled = True
            raise
        finally:
            self.running -= 1
        make_answer = FAULTS.get(fault, whole)
        return await make_answer(self, request, request_id)

    def headers(self, request_id: str) -> dict[str, str]:
        return {
            "X-Attempt-Id": request_id,
            "X-Response-Signature": f"{self.instance}.{request_id}",
            "X-Backend-Load": f"{self.running},0,{self.slots}",
            **self.notice,
        }

    async def announce(
        self, session: aiohttp.ClientSession, control_plane: str, state: str = "ready"
    ) -> int:
        """Announce the server to a node with its next heartbeat.

        Checks that run nodes of two builds side by side call it, so its name stays.

        :param control_plane: address where the node receives heartbeats.
        :return: status of the answer.
        """
        return await self.send(session, control_plane, self.heartbeat(state))

    def heartbeat(self, state: str = "ready") -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def send(
        self,
        session: aiohttp.ClientSession,
        control_plane: str,
        heartbeat: dict[str, object],
    ) -> int:
        """Send a heartbeat, perhaps late; return the status of the answer."""
        url = f"http://{control_plane}/Instances.Heartbeat/{self.instance}"
        async with session.post(url, json=heartbeat) as answer:
            return answer.status

    async def deregister(
        self, session: aiohttp.ClientSession, control_plane: str
    ) -> int:
        """Tell a node that the server leaves; return the status of the answer."""
        self.sequence += 1
        body = {"sequence": self.sequence, "born": self.born}
        url = f"http://{control_plane}/Instances.Deregister/{self.instance}"
        async with session.post(url, json=body) as answer:
            return answer.status


MakeAnswer = Callable[
    [PlatformBackend, web.BaseRequest, str], Coroutine[Any, Any, web.StreamResponse]
]


async def whole(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    body = f"{backend.instance} {request_id}".encode()
    return web.Response(body=body, headers=backend.headers(request_id))


async def failing(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    return web.Response(status=500, headers=backend.headers(request_id))


async def reset(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def long(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    """Answer with a body longer than a node buffers before it forwards it."""
    return web.Response(body=LONG_BODY, headers=backend.headers(request_id))


async def truncated(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    response = web.StreamResponse(headers=backend.headers(request_id))
    response.content_length = 100
    await response.prepare(request)
    await response.write(b"half")
    assert request.transport is not None
    request.transport.close()
    return response


async def extra(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    """Answer twice; the second answer follows 20 ms later."""
    transport = request.transport
    assert transport is not None
    head = "".join(f"{k}: {v}\r\n" for k, v in backend.headers(request_id).items())
    second_answer = f"HTTP/1.1 200 OK\r\n{head}Content-Length: 5\r\n\r\nagain".encode()
    loop = asyncio.get_running_loop()
    loop.call_later(0.02, transport.write, second_answer)
    return await whole(backend, request, request_id)


async def unframed(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    """Answer without a length; reset the connection before the body is complete."""
    return await _unframed(backend, request, request_id, whole_body=False)


async def unframed_whole(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    return await _unframed(backend, request, request_id, whole_body=True)


async def _unframed(
    backend: PlatformBackend,
    request: web.BaseRequest,
    request_id: str,
    *,
    whole_body: bool,
) -> web.StreamResponse:
    transport = request.transport
    assert transport is not None
    head = "".join(f"{k}: {v}\r\n" for k, v in backend.headers(request_id).items())
    transport.write(f"HTTP/1.1 200 OK\r\n{head}Connection: close\r\n\r\n".encode())
    transport.write(b"all of it" if whole_body else b"half")
    await asyncio.sleep(0.02)
    if not whole_body:
        _reset_on_close(transport)
    transport.close()
    return web.Response()


async def _endless(
    backend: PlatformBackend, request: web.BaseRequest, start: bytes, unit: bytes
) -> web.StreamResponse:
    """Write ``unit`` again and again until the caller closes the connection."""
    transport = request.transport
    assert transport is not None
    transport.write(start)
    while not transport.is_closing():
        if transport.get_write_buffer_size() < len(unit):
            transport.write(unit)
            backend.endless_bytes += len(unit)
        await asyncio.sleep(0)
    return web.Response()


def _ok_head(backend: PlatformBackend, request_id: str, framing: str) -> bytes:
    head = "".join(f"{k}: {v}\r\n" for k, v in backend.headers(request_id).items())
    return f"HTTP/1.1 200 OK\r\n{head}{framing}".encode()


async def endless_head(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    start = _ok_head(backend, request_id, "")
    return await _endless(
        backend, request, start, b"X-More: " + b"x" * 30_000 + b"\r\n"
    )


async def endless_line(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    return await _endless(backend, request, b"HTTP/1.1 200 ", b"x" * 30_000)


async def endless_interim_answers(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    unit = b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000
    return await _endless(backend, request, b"", unit)


async def endless_chunks(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    start = _ok_head(backend, request_id, "Transfer-Encoding: chunked\r\n\r\n")
    unit = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
    return await _endless(backend, request, start, unit)


async def endless_unframed(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    start = _ok_head(backend, request_id, "Connection: close\r\n\r\n")
    return await _endless(backend, request, start, b"x" * 65_536)


async def stalled_chunks(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    start = _ok_head(backend, request_id, "Transfer-Encoding: chunked\r\n\r\n")
    return await _stalled(request, start + b"200000\r\n" + b"x" * 2**21 + b"\r\n")


async def stalled_short(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    start = _ok_head(backend, request_id, "Content-Length: 10\r\n\r\n")
    return await _stalled(request, start + b"half")


async def stalled_unframed(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    start = _ok_head(backend, request_id, "Connection: close\r\n\r\n")
    return await _stalled(request, start + b"x" * 2**21)


async def _stalled(request: web.BaseRequest, start: bytes) -> web.StreamResponse:
    """Write ``start`` and nothing more until the caller closes the connection."""
    transport = request.transport
    assert transport is not None
    transport.write(start)
    await asyncio.Event().wait()
    return web.Response()


async def long_chunked(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    """Answer in chunks, with a body longer than a node buffers."""
    response = web.StreamResponse(headers=backend.headers(request_id))
    response.enable_chunked_encoding()
    await response.prepare(request)
    for start in range(0, len(LONG_BODY), 65_536):
        await response.write(LONG_BODY[start : start + 65_536])
    await response.write_eof()
    return response


def _reset_on_close(transport: asyncio.Transport) -> None:
    linger = struct.pack("ii", 1, 0)
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def with_status(status: str) -> MakeAnswer:
    """Return an answer with a status line of its own, on a connection left open."""

    async def answer(
        backend: PlatformBackend, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        head = _ok_head(backend, request_id, "Content-Length: 2\r\n\r\n")
        return await _stalled(request, head.replace(b"200 OK", status.encode()) + b"ok")

    return answer


async def slow_interim_answers(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    """Send an interim answer every 5 ms until the caller closes the connection."""
    transport = request.transport
    assert transport is not None
    while not transport.is_closing():
        transport.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        backend.endless_bytes += 1
        await asyncio.sleep(0.005)
    return web.Response()


async def interim_then_whole(
    backend: PlatformBackend, request: web.BaseRequest, request_id: str
) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
    await asyncio.sleep(0.02)
    return await whole(backend, request, request_id)


INVALID_STATUSES = (
    "000 Odd",
    "099 Odd",
    "600 Odd",
    "999 Odd",
    "101 Switching Protocols",
)
FAULTS: dict[str, MakeAnswer] = {
    **{f"status-{status[:3]}": with_status(status) for status in INVALID_STATUSES},
    "slow-interim": slow_interim_answers,
    "interim": interim_then_whole,
    "long": long,
    "failing": failing,
    "reset": reset,
    "truncated": truncated,
    "extra": extra,
    "unframed": unframed,
    "unframed-whole": unframed_whole,
    "endless-head": endless_head,
    "endless-line": endless_line,
    "endless-interim": endless_interim_answers,
    "endless-chunks": endless_chunks,
    "endless-unframed": endless_unframed,
    "stalled-chunks": stalled_chunks,
    "stalled-short": stalled_short,
    "stalled-unframed": stalled_unframed,
    "long-chunked": long_chunked,
}
