"""Stand-in for the platform's append-only log service, with its published protocol.

``python -m testing.standins.log_service PORT``; see docs/INTERFACES.md. ``PUT
/faults`` sets faults, given as a JSON object with fields of :class:`Faults`.
"""

from __future__ import annotations

import asyncio
import base64
import struct
import sys
import time
from collections import Counter
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field

from aiohttp import web

RECORD_LENGTH = struct.Struct(">I")
OFFSET_RANGE = struct.Struct(">QQ")
NEWEST_PAGE_KEYS = 500


@dataclass
class Faults:
    """Faults that the service simulates.

    :param down: answer all requests with 503.
    :param silent: answer no request.
    :param delay_ms: delay before each request is handled.
    :param lose_append_answers: number of appends to store without an answer; their
        connections are aborted.
    :param late_appends: number of appends whose connections are aborted at once, and
        whose records are stored ``late_ms`` later if their conditions hold then.
    :param appends_per_s: appends accepted in a second; further ones get 429.
    :param retained_records: newest records that each stream keeps.
    :param turned_away: IP addresses of the callers, or of the service's own that they
        call, that get 503.
    :param unanswered: IP addresses of the service's own whose callers get no answer.
    :param odd_era: value of the header ``Store-Era`` in place of the era; empty to
        leave the header out.
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
    unanswered: list[str] = field(default_factory=list)
    odd_era: str | None = None


@dataclass
class Stream:
    """The records of a stream.

    :param oldest: offset of the oldest record that is kept.
    :param newest: newest (offset, value) of each key whose value is not empty.
    :param producers: newest epoch of each producer, and its last sequence.
    :param appended: set at the next append, and then replaced.
    """

    oldest: int = 0
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, tuple[int, int]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    def append_bytes(self, record: bytes) -> None:
        """Append a record: the key's length in one byte, then the key and the value."""
        end = 1 + record[0] if record else 0
        key, value = record[1:end].decode(errors="replace"), record[end:]
        self.newest[key] = (self.next, value)
        if not value:
            self.newest.pop(key, None)
        self.records.append(record)

    @property
    def next(self) -> int:
        """The offset of the next record."""
        return self.oldest + len(self.records)


@dataclass
class LogService:
    """The streams and faults of the service.

    :param append_times: times of the appends within the last second.
    :param transports: connections on which requests arrived.
    :param silenced: those on which nothing is answered any more.
    :param calls: number of requests by the IP address of the service that was called.
    :param era: rises by one each time the log is restored from an older copy.
    """

    faults: Faults = field(default_factory=Faults)
    streams: dict[str, Stream] = field(default_factory=dict)
    append_times: list[float] = field(default_factory=list)
    transports: set[object] = field(default_factory=set)
    silenced: set[object] = field(default_factory=set)
    appends_total: int = 0
    bytes_total: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    era: int = 1

    def stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    def add(self, stream: Stream, records: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        offset = stream.next
        for record in records:
            stream.append_bytes(record)
        self.bytes_total += sum(len(r) for r in records)
        self.trim(stream, stream.next - self.faults.retained_records)
        stream.appended.set()
        stream.appended = asyncio.Event()
        return offset

    def silence_connections(self) -> None:
        """Answer nothing more on the connections so far; new ones work."""
        self.silenced |= self.transports

    def copy(self) -> dict[str, tuple[int, list[bytes]]]:
        """Return a copy of the streams, for :meth:`restore`."""
        return {n: (s.oldest, list(s.records)) for n, s in self.streams.items()}

    def restore(self, copy: dict[str, tuple[int, list[bytes]]]) -> None:
        """Restore the streams from a copy; offsets go back and are reassigned."""
        self.era += 1
        for name, stream in self.streams.items():
            stream.oldest, records = copy.get(name, (0, []))
            stream.records, stream.newest = [], {}
            for record in records:
                stream.append_bytes(record)
            stream.appended.set()
            stream.appended = asyncio.Event()

    def trim(self, stream: Stream, before: int) -> None:
        """Remove the records before an offset."""
        excess = min(before, stream.next) - stream.oldest
        if excess > 0:
            del stream.records[:excess]
            stream.oldest += excess


def split_records(body: bytes) -> list[bytes]:
    records, start = [], 0
    while start < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, start)
        start += RECORD_LENGTH.size
        records.append(body[start : start + length])
        start += length
    return records


def application(log: LogService) -> web.Application:
    app = web.Application(client_max_size=64 * 2**20)
    late_tasks: set[asyncio.Task[None]] = set()

    def count_call(request: web.Request) -> None:
        assert request.transport is not None
        log.calls[request.transport.get_extra_info("sockname")[0]] += 1

    async def apply_faults(request: web.Request) -> None:
        log.transports.add(request.transport)
        if request.transport is None:
            raise web.HTTPServiceUnavailable  # the caller has left meanwhile
        called = request.transport.get_extra_info("sockname")[0]
        if request.transport in log.silenced:
            await asyncio.sleep(3600)
        if log.faults.delay_ms:
            await asyncio.sleep(log.faults.delay_ms / 1000)
        if log.faults.silent or called in log.faults.unanswered:
            await asyncio.sleep(3600)
        away = log.faults.turned_away
        if log.faults.down or request.remote in away or called in away:
            raise web.HTTPServiceUnavailable

    async def append(request: web.Request) -> web.StreamResponse:
        count_call(request)
        await apply_faults(request)
        now = time.monotonic()
        log.append_times = [t for t in log.append_times if now - t < 1.0]
        if len(log.append_times) >= log.faults.appends_per_s:
            raise web.HTTPTooManyRequests
        log.append_times.append(now)
        log.appends_total += 1
        stream = log.stream(request.query["topic"])
        records = split_records(await request.read())
        assert request.transport is not None
        if log.faults.late_appends > 0:
            log.faults.late_appends -= 1
            task = asyncio.create_task(add_late(request, stream, records))
            late_tasks.add(task)
            task.add_done_callback(late_tasks.discard)
            request.transport.abort()
            return web.Response()
        refused = refusal(request, stream)
        if refused is not None:
            return refused
        offset = log.add(stream, records)
        if log.faults.lose_append_answers > 0:
            log.faults.lose_append_answers -= 1
            request.transport.abort()
        return web.json_response({"offset": offset, "range_end": stream.next})

    def refusal(request: web.Request, stream: Stream) -> web.Response | None:
        producer = request.query.get("producer")
        if producer is not None:
            epoch = int(request.query["epoch"])
            sequence = int(request.query["sequence"])
            newest, last = stream.producers.get(producer, (-1, -1))
            if epoch < newest:
                return web.json_response({"why": "fenced"}, status=409)
            if epoch == newest and sequence != last + 1:
                return web.json_response(
                    {"why": "seq", "sequence": last + 1}, status=409
                )
            stream.producers[producer] = (epoch, sequence)
        expected_offset = request.query.get("at")
        if expected_offset is not None and int(expected_offset) != stream.next:
            return web.json_response({"range_end": stream.next}, status=412)
        return None

    async def add_late(
        request: web.Request, stream: Stream, records: list[bytes]
    ) -> None:
        await asyncio.sleep(log.faults.late_ms / 1000)
        if refusal(request, stream) is None:
            log.add(stream, records)

    async def read(request: web.Request) -> web.StreamResponse:
        count_call(request)
        await apply_faults(request)
        stream = log.stream(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_timeout_ms", "0")) / 1000
        if start == stream.next and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await stream.appended.wait()
            except TimeoutError:
                pass
            await apply_faults(request)
        if start < stream.oldest or start > stream.next:
            return web.json_response({"first_offset": stream.oldest}, status=410)
        page_records = stream.records[start - stream.oldest :][:1000]
        body = OFFSET_RANGE.pack(stream.next, stream.oldest)
        body += b"".join(RECORD_LENGTH.pack(len(r)) + r for r in page_records)
        return web.Response(body=body)

    async def read_newest(request: web.Request) -> web.StreamResponse:
        count_call(request)
        await apply_faults(request)
        stream = log.stream(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in stream.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(stream.newest[key][1]).decode(),
                "offset": stream.newest[key][0],
            }
            for key in keys[:NEWEST_PAGE_KEYS]
        ]
        page = {
            "items": items,
            "has_more": len(keys) > NEWEST_PAGE_KEYS,
            "range_end": stream.next,
        }
        return web.json_response(page)

    async def trim(request: web.Request) -> web.StreamResponse:
        await apply_faults(request)
        stream = log.stream(request.query["topic"])
        log.trim(stream, int(request.query["trim_offset"]))
        return web.json_response({})

    async def set_faults(request: web.Request) -> web.StreamResponse:
        log.faults = Faults(**{**asdict(log.faults), **await request.json()})
        return web.json_response(asdict(log.faults))

    async def get_counts(request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {"appends": log.appends_total, "bytes": log.bytes_total}
        )

    async def add_era(request: web.Request, response: web.StreamResponse) -> None:
        odd_era = log.faults.odd_era
        era = str(log.era) if odd_era is None else odd_era
        if era:
            response.headers["Store-Era"] = era

    app.on_response_prepare.append(add_era)
    app.router.add_post("/log-append", append)
    app.router.add_get("/log-read", read)
    app.router.add_get("/log-newest", read_newest)
    app.router.add_post("/log-trim", trim)
    app.router.add_put("/faults", set_faults)
    app.router.add_get("/counts", get_counts)
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
