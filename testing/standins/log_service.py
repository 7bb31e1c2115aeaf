"""Stand-in for the platform's append-only log service.

``python -m testing.standins.log_service PORT``; see docs/INTERFACES.md. Faults are
set with ``PUT /faults``, a JSON object of :class:`Faults` fields.
"""

from __future__ import annotations

import asyncio
import base64
import sys
import time
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field

from aiohttp import web


@dataclass
class Faults:
    down: bool = False
    delay_ms: int = 0
    lose_append_answers: int = 0
    appends_per_s: int = 500
    retained_records: int = 1_000_000


@dataclass
class Stream:
    oldest: int = 0
    records: list[str] = field(default_factory=list)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def append_bytes(self, record: bytes) -> None:
        self.records.append(base64.b64encode(record).decode())

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


def application(log: LogService) -> web.Application:
    app = web.Application(client_max_size=64 * 2**20)

    async def gate() -> None:
        if log.faults.delay_ms:
            await asyncio.sleep(log.faults.delay_ms / 1000)
        if log.faults.down:
            raise web.HTTPServiceUnavailable

    async def append(request: web.Request) -> web.StreamResponse:
        await gate()
        now = time.monotonic()
        log.appends = [t for t in log.appends if now - t < 1.0]
        if len(log.appends) >= log.faults.appends_per_s:
            raise web.HTTPTooManyRequests
        log.appends.append(now)
        log.appends_total += 1
        body = await request.json()
        stream = log.stream(body["stream"])
        offset = stream.next
        stream.records += body["records"]
        log.bytes_total += sum(len(r) for r in body["records"])
        excess = len(stream.records) - log.faults.retained_records
        if excess > 0:
            del stream.records[:excess]
            stream.oldest += excess
        stream.grown.set()
        stream.grown = asyncio.Event()
        if log.faults.lose_append_answers > 0:
            log.faults.lose_append_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"offset": offset})

    async def read(request: web.Request) -> web.StreamResponse:
        await gate()
        stream = log.stream(request.query["stream"])
        start = max(int(request.query["from"]), stream.oldest)
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if start >= stream.next and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await stream.grown.wait()
            except TimeoutError:
                pass
            await gate()
        found = stream.records[start - stream.oldest :][:1000]
        return web.json_response(
            {
                "records": [
                    {"offset": start + i, "data": data} for i, data in enumerate(found)
                ],
                "next": start + len(found),
                "oldest": stream.oldest,
            }
        )

    async def faults(request: web.Request) -> web.StreamResponse:
        log.faults = Faults(**{**asdict(log.faults), **await request.json()})
        return web.json_response(asdict(log.faults))

    async def counts(request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {"appends": log.appends_total, "bytes": log.bytes_total}
        )

    app.router.add_post("/append", append)
    app.router.add_get("/read", read)
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
