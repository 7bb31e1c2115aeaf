"""Stand-in for the platform's append-only log service, at its published protocol.

``python -m testing.standins.log_service PORT``; see docs/INTERFACES.md. Faults are
set with ``PUT /faults``, a JSON object of :class:`Faults` fields.
"""

from __future__ import annotations

import asyncio
import base64
import struct
import sys
import time
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field

from aiohttp import web

LENGTH = struct.Struct(">I")
RANGE = struct.Struct(">QQ")
PAGE = 500


@dataclass
class Faults:
    """What goes wrong.

    ``turned_away`` names callers by their local address; they get 503.
    ``late_appends`` appends are done ``late_ms`` after their connection broke.
    """

    down: bool = False
    silent: bool = False
    delay_ms: int = 0
    lose_append_answers: int = 0
    late_appends: int = 0
    late_ms: int = 100
    appends_per_s: int = 500
    retained_records: int = 1_000_000
    turned_away: list[str] = field(default_factory=list)


@dataclass
class Stream:
    oldest: int = 0
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epochs: dict[str, int] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def append_bytes(self, record: bytes) -> None:
        end = 1 + record[0] if record else 0
        key, value = record[1:end].decode(errors="replace"), record[end:]
        self.newest[key] = (self.next, value)
        if not value:
            self.newest.pop(key, None)
        self.records.append(record)

    @property
    def next(self) -> int:
        return self.oldest + len(self.records)


@dataclass
class LogService:
    faults: Faults = field(default_factory=Faults)
    streams: dict[str, Stream] = field(default_factory=dict)
    appends: list[float] = field(default_factory=list)
    appends_total: int = 0
    bytes_total: int = 0

    def stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    def add(self, stream: Stream, records: list[bytes]) -> int:
        offset = stream.next
        for record in records:
            stream.append_bytes(record)
        self.bytes_total += sum(len(r) for r in records)
        self.trim(stream, stream.next - self.faults.retained_records)
        stream.grown.set()
        stream.grown = asyncio.Event()
        return offset

    def trim(self, stream: Stream, before: int) -> None:
        excess = min(before, stream.next) - stream.oldest
        if excess > 0:
            del stream.records[:excess]
            stream.oldest += excess


def split_records(body: bytes) -> list[bytes]:
    found, start = [], 0
    while start < len(body):
        (length,) = LENGTH.unpack_from(body, start)
        start += LENGTH.size
        found.append(body[start : start + length])
        start += length
    return found


def application(log: LogService) -> web.Application:
    app = web.Application(client_max_size=64 * 2**20)
    late: set[asyncio.Task[None]] = set()

    async def gate(request: web.Request) -> None:
        if log.faults.delay_ms:
            await asyncio.sleep(log.faults.delay_ms / 1000)
        if log.faults.silent:
            await asyncio.sleep(3600)
        if log.faults.down or request.remote in log.faults.turned_away:
            raise web.HTTPServiceUnavailable

    async def append(request: web.Request) -> web.StreamResponse:
        await gate(request)
        now = time.monotonic()
        log.appends = [t for t in log.appends if now - t < 1.0]
        if len(log.appends) >= log.faults.appends_per_s:
            raise web.HTTPTooManyRequests
        log.appends.append(now)
        log.appends_total += 1
        stream = log.stream(request.query["topic"])
        refused = refusal(request, stream)
        if refused is not None:
            return refused
        records = split_records(await request.read())
        assert request.transport is not None
        if log.faults.late_appends > 0:
            log.faults.late_appends -= 1
            task = asyncio.create_task(add_late(stream, records))
            late.add(task)
            task.add_done_callback(late.discard)
            request.transport.abort()
            return web.Response()
        offset = log.add(stream, records)
        if log.faults.lose_append_answers > 0:
            log.faults.lose_append_answers -= 1
            request.transport.abort()
        return web.json_response({"offset": offset, "range_end": stream.next})

    def refusal(request: web.Request, stream: Stream) -> web.Response | None:
        producer, epoch = request.query.get("producer"), request.query.get("epoch")
        if producer is not None and epoch is not None:
            if int(epoch) < stream.epochs.get(producer, 0):
                return web.json_response({"why": "fenced"}, status=409)
            stream.epochs[producer] = int(epoch)
        at = request.query.get("at")
        if at is not None and int(at) != stream.next:
            return web.json_response({"range_end": stream.next}, status=412)
        return None

    async def add_late(stream: Stream, records: list[bytes]) -> None:
        await asyncio.sleep(log.faults.late_ms / 1000)
        log.add(stream, records)

    async def read(request: web.Request) -> web.StreamResponse:
        await gate(request)
        stream = log.stream(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_timeout_ms", "0")) / 1000
        if start >= stream.next and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await stream.grown.wait()
            except TimeoutError:
                pass
            await gate(request)
        if start < stream.oldest:
            return web.json_response({"first_offset": stream.oldest}, status=410)
        found = stream.records[start - stream.oldest :][:1000]
        body = RANGE.pack(stream.next, stream.oldest)
        body += b"".join(LENGTH.pack(len(r)) + r for r in found)
        return web.Response(body=body)

    async def newest(request: web.Request) -> web.StreamResponse:
        await gate(request)
        stream = log.stream(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in stream.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(stream.newest[key][1]).decode(),
                "offset": stream.newest[key][0],
            }
            for key in keys[:PAGE]
        ]
        page = {"items": items, "has_more": len(keys) > PAGE, "range_end": stream.next}
        return web.json_response(page)

    async def trim(request: web.Request) -> web.StreamResponse:
        await gate(request)
        stream = log.stream(request.query["topic"])
        log.trim(stream, int(request.query["trim_offset"]))
        return web.json_response({})

    async def faults(request: web.Request) -> web.StreamResponse:
        log.faults = Faults(**{**asdict(log.faults), **await request.json()})
        return web.json_response(asdict(log.faults))

    async def counts(request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {"appends": log.appends_total, "bytes": log.bytes_total}
        )

    app.router.add_post("/log-append", append)
    app.router.add_get("/log-read", read)
    app.router.add_get("/log-newest", newest)
    app.router.add_post("/log-trim", trim)
    app.router.add_put("/faults", faults)
    app.router.add_get("/counts", counts)
    return app


def main() -> None:
    web.run_app(
        application(LogService()),
        host="127.0.0.1",
        port=int(sys.argv[1]),
        print=None,
        access_log=None,
        handle_signals=True,
    )


if __name__ == "__main__":
    main()
