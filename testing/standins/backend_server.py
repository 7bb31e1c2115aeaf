"""Stand-in for a backend server.

``python -m testing.standins.backend_server PORT NODE_PORT SERVICE [OPTION=VALUE ...]``

Options: ``slots``, ``connections`` and ``ttl_ms`` of the announcement; ``latency_ms``
of each run; ``cold_start_ms`` (until this time after the start, a run takes longer by
a tenth of the remaining time); ``shed`` (1: refuse every request before it runs);
``child`` (path of a nested request that each run sends through the server's own node);
``journal`` (file to which the ``Idempotency-Key`` of each run is appended, so that it
outlasts a killed process).

Parameters in the query of a request: ``latency_ms`` (instead of the option), ``echo``
(text to return), ``size`` (bytes of the answer), ``chunked=1`` (send them without a
length), ``chunk_ms`` (pause between chunks of about 64 KiB), ``etag`` (the answer's
ETag; ranges are served too), ``die_at`` (exit after so many bytes, unless a range was
requested) and ``crash=1`` (exit at once).

A run is cancelled when its caller disconnects. ``GET /runs`` returns how often each
``Idempotency-Key`` was run, the counts of served, refused and running requests, and
the most that ran at once.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from dataclasses import dataclass
from dataclasses import field

import aiohttp
from aiohttp import web

CHUNK = bytes(range(251)) * 262


@dataclass
class Options:
    slots: int = 50
    latency_ms: float = 5.0
    ttl_ms: int = 1_000
    cold_start_ms: float = 0.0
    child: str = ""
    connections: int = 400
    shed: int = 0
    journal: str = ""


@dataclass
class Backend:
    port: int
    node_port: int
    service: str
    options: Options
    runs: dict[str, int] = field(default_factory=dict)
    served: int = 0
    shed: int = 0
    running: int = 0
    max_running: int = 0
    started_at: float = field(default_factory=time.monotonic)


def content(start: int, end: int) -> bytes:
    """Return the bytes of a body from ``start`` to ``end``, at most one chunk.

    Each byte depends on its position, so that a misplaced part is noticed.
    """
    phase = start % 251
    return CHUNK[phase : min(len(CHUNK), phase + end - start)]


def parse_options(arguments: list[str]) -> Options:
    values = dict(word.split("=", 1) for word in arguments)
    type_by_option = {
        "child": str,
        "journal": str,
        "latency_ms": float,
        "cold_start_ms": float,
    }
    return Options(**{k: type_by_option.get(k, int)(v) for k, v in values.items()})


def record_run(journal: str, key: str) -> None:
    if journal:
        with open(journal, "a") as file:
            file.write(f"{key}\n")


def make_handler(backend: Backend, session: aiohttp.ClientSession) -> object:
    async def run(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/runs":
            return web.json_response(
                {
                    "runs": backend.runs,
                    "served": backend.served,
                    "shed": backend.shed,
                    "running": backend.running,
                    "most_running": backend.max_running,
                }
            )
        if backend.options.shed:
            backend.shed += 1
            return web.Response(status=503, headers={"Masticspoke-Ran": "no"})
        if request.query.get("crash") == "1":
            os._exit(9)
        key = request.headers.get("Idempotency-Key", "")
        if key:
            backend.runs[key] = backend.runs.get(key, 0) + 1
            record_run(backend.options.journal, key)
        backend.served += 1
        backend.running += 1
        backend.max_running = max(backend.max_running, backend.running)
        try:
            return await answer(request, key)
        finally:
            backend.running -= 1

    async def answer(request: web.BaseRequest, key: str) -> web.StreamResponse:
        body = await request.read()
        latency_ms = float(request.query.get("latency_ms", backend.options.latency_ms))
        age_ms = (time.monotonic() - backend.started_at) * 1000
        latency_ms += max(0.0, backend.options.cold_start_ms - age_ms) / 10
        await asyncio.sleep(latency_ms / 1000)
        child = ""
        if backend.options.child:
            headers = {"traceparent": request.headers.get("traceparent", "")}
            url = f"http://127.0.0.1:{backend.node_port}{backend.options.child}"
            async with session.get(url, headers=headers) as response:
                child = (await response.read()).decode()
                if response.status != 200:
                    return web.Response(status=response.status, text=child)
        if "size" in request.query:
            return await stream(request, int(request.query["size"]))
        return web.json_response(
            {
                "service": backend.service,
                "port": backend.port,
                "path": request.path,
                "key": key,
                "echo": request.query.get("echo", ""),
                "length": len(body),
                "headers": dict(request.headers),
                "child": json.loads(child) if child else None,
            }
        )

    async def stream(request: web.BaseRequest, size: int) -> web.StreamResponse:
        response = web.StreamResponse()
        sent = 0
        if "etag" in request.query:
            sent = range_start(request, response, size)
        if request.query.get("chunked") != "1":
            response.content_length = size - sent
        await response.prepare(request)
        pause_s = float(request.query.get("chunk_ms", 0)) / 1000
        die_at = int(request.query.get("die_at", size + 1))
        while sent < size:
            chunk = content(sent, min(size, sent + len(CHUNK)))
            await response.write(chunk)
            sent += len(chunk)
            if sent >= die_at and "Range" not in request.headers:
                await asyncio.sleep(0.1)
                os._exit(9)
            if pause_s:
                await asyncio.sleep(pause_s)
        await response.write_eof()
        return response

    def range_start(
        request: web.BaseRequest, response: web.StreamResponse, size: int
    ) -> int:
        etag = f'"{request.query["etag"]}"'
        response.headers["ETag"] = etag
        response.headers["Accept-Ranges"] = "bytes"
        range_header = request.headers.get("Range", "")
        if not range_header or request.headers.get("If-Range") != etag:
            return 0
        start = int(range_header.removeprefix("bytes=").removesuffix("-"))
        response.set_status(206)
        response.headers["Content-Range"] = f"bytes {start}-{size - 1}/{size}"
        return start

    return run


async def announce(backend: Backend, session: aiohttp.ClientSession) -> None:
    url = f"http://127.0.0.1:{backend.node_port}/.masticspoke/backend"
    body = {
        "service": backend.service,
        "address": f"127.0.0.1:{backend.port}",
        "slots": backend.options.slots,
        "connections": backend.options.connections,
        "ttl_ms": backend.options.ttl_ms,
        "incarnation": f"{os.getpid()}",
    }
    while True:
        try:
            async with session.put(url, json=body) as response:
                await response.read()
        except aiohttp.ClientError:
            await asyncio.sleep(0.1)
            continue
        await asyncio.sleep(backend.options.ttl_ms / 3000)


async def serve(backend: Backend) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        server = web.Server(
            make_handler(backend, session), access_log=None, handler_cancellation=True
        )  # type: ignore[arg-type]
        runner = web.ServerRunner(server, shutdown_timeout=30)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", backend.port).start()
        task = asyncio.create_task(announce(backend, session))
        await stop.wait()
        task.cancel()
        url = f"http://127.0.0.1:{backend.node_port}/.masticspoke/backend"
        try:
            async with session.delete(url):
                pass
        except aiohttp.ClientError:
            pass
        await runner.cleanup()


def main() -> None:
    port, node_port, service, *arguments = sys.argv[1:]
    backend = Backend(int(port), int(node_port), service, parse_options(arguments))
    asyncio.run(serve(backend))


if __name__ == "__main__":
    main()
