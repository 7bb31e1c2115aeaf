"""Client of the platform's append-only log."""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any
from typing import final

import aiohttp

from _masticspoke.border.json_values import MALFORMED
from _masticspoke.decisions.fleet.log_era import read_era
from _masticspoke.messages.log import LogRecord
from _masticspoke.model import Address
from _masticspoke.platform.names import STORE_ERA
from _masticspoke.supervise.clocks import boot_clock

# Takes the era of an answer and the time at which its request was sent, and returns
# whether the answer counts.
OnAnswer = Callable[[int | None, float], bool]

_PARTITION = "0"
_RECORD_LENGTH = struct.Struct(">I")
_OFFSET_RANGE = struct.Struct(">QQ")
_MAX_READ_KB = 1_024
# Statuses with which the log service answers that it has appended nothing.
_REFUSED_STATUSES = frozenset({400, 403, 404, 409, 413, 429, 503, 507})


@final
class LogFault(Enum):
    """Why an operation on the log failed; the value is the error message.

    A read without a usable answer is ``NOT_DONE``. So is one whose answer is of an
    older era than the newest known; such an append is ``UNKNOWN``.
    """

    NOT_DONE = (
        "the log refused the request or could not be reached; nothing was appended"
    )
    UNKNOWN = "the answer was lost; the records may have been appended"
    FENCED = "the log has seen a later append of this writer; nothing was appended"
    OFFSET_MISMATCH = "the offset does not match the stream; nothing was appended"


@final
@dataclass(frozen=True, slots=True)
class Fence:
    """Place of an append among those of one writer to a stream.

    Once the log has done an append, it refuses those of the same producer with lower
    epochs, however late they arrive.

    :param epoch: higher with each append.
    """

    producer: str
    epoch: int


@final
@dataclass(frozen=True, slots=True)
class Appended:
    """Offset of the first appended record."""

    offset: int


@final
@dataclass(frozen=True, slots=True)
class ReadResult:
    """Records from one offset on.

    :param records: in offset order.
    :param era: era of the log; ``None`` if the answer names none.
    :param next_offset: offset of the next read.
    :param oldest_offset: oldest offset that is still retained.
    :param reaches_end: whether the stream had no further records. One answer holds a
        bounded number of bytes.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    oldest_offset: int
    era: int | None = field(default=None, compare=False)
    reaches_end: bool = True


@final
@dataclass(frozen=True, slots=True)
class NewestValues:
    """The newest value of each key.

    :param next_offset: offset from which to read later records.
    :param era: era of the log; ``None`` if an answer names none.
    """

    values: Mapping[str, bytes]
    next_offset: int
    era: int | None = field(default=None, compare=False)


def _counts(era: int | None, sent_at: float) -> bool:
    """Accept the answer whatever its era is."""
    return True


@final
@dataclass(frozen=True, slots=True)
class LogClient:
    """Client of the log service.

    :param session: open while the client is used; clients may share it.
    :param timeout_s: timeout of one request; a read's wait is added.
    :param on_answer: gets the era of each answer, also of a refusal.
    """

    session: aiohttp.ClientSession
    address: Address
    timeout_s: float
    on_answer: OnAnswer = _counts


async def append(
    client: LogClient,
    stream: str,
    records: Sequence[bytes],
    *,
    expected_end: int | None = None,
    fence: Fence | None = None,
) -> Appended | LogFault:
    """Append records to a stream, all or none.

    :param expected_end: append only if the stream ends at this offset.
    :param fence: append only if no later append of the same writer was done.
    """
    query = {"topic": stream, "part": _PARTITION}
    if expected_end is not None:
        query["at"] = str(expected_end)
    if fence is not None:
        # The first sequence of an epoch is free.
        query |= {"producer": fence.producer, "epoch": str(fence.epoch)}
        query["sequence"] = "0"
    body = b"".join(_RECORD_LENGTH.pack(len(record)) + record for record in records)
    sent_at = boot_clock()
    try:
        async with client.session.post(
            f"http://{client.address}/log-append",
            params=query,
            data=body,
            timeout=aiohttp.ClientTimeout(total=client.timeout_s),
        ) as response:
            text = await response.read()
            counts = client.on_answer(_era(response), sent_at)
            if response.status != 200:
                return _append_fault(response.status, fence)
            if not counts:
                return LogFault.UNKNOWN
            return Appended(int(json.loads(text)["offset"]))
    except aiohttp.ClientConnectorError:
        return LogFault.NOT_DONE
    except (TimeoutError, aiohttp.ClientError, ConnectionError):
        return LogFault.UNKNOWN
    except MALFORMED:
        return LogFault.UNKNOWN


def _append_fault(status: int, fence: Fence | None) -> LogFault:
    if status == 412:
        return LogFault.OFFSET_MISMATCH
    if status == 409 and fence is not None:
        return LogFault.FENCED
    return LogFault.NOT_DONE if status in _REFUSED_STATUSES else LogFault.UNKNOWN


async def read(
    client: LogClient, stream: str, offset: int, wait_s: float
) -> ReadResult | LogFault:
    """Read records from ``offset`` on; wait up to ``wait_s`` for a first one.

    If the log doesn't have ``offset``, the result has no records and ``next_offset`` is
    the oldest retained offset. The records there are then no longer retained, or the
    log was restored from an older copy and ends before ``offset``.
    """
    query = {
        "topic": stream,
        "part": _PARTITION,
        "from": str(offset),
        "max_kilobytes": str(_MAX_READ_KB),
        "wait_timeout_ms": str(int(wait_s * 1000)),
    }
    sent_at = boot_clock()
    try:
        async with client.session.get(
            f"http://{client.address}/log-read",
            params=query,
            timeout=aiohttp.ClientTimeout(total=client.timeout_s + wait_s),
        ) as response:
            body = await response.read()
            era = _era(response)
            if not client.on_answer(era, sent_at):
                return LogFault.NOT_DONE
            if response.status == 410:
                oldest = int(json.loads(body)["first_offset"])
                return ReadResult((), oldest, oldest, era, reaches_end=False)
            if response.status != 200:
                return LogFault.NOT_DONE
            return _read_result(stream, offset, body, era)
    except (TimeoutError, aiohttp.ClientError, ConnectionError):
        return LogFault.NOT_DONE
    except (*MALFORMED, struct.error):
        return LogFault.NOT_DONE


def _era(response: aiohttp.ClientResponse) -> int | None:
    return read_era(response.headers.get(STORE_ERA))


def _read_result(stream: str, offset: int, body: bytes, era: int | None) -> ReadResult:
    end, oldest = _OFFSET_RANGE.unpack_from(body)
    if end < offset:
        return ReadResult((), oldest, oldest, era, reaches_end=False)
    records = tuple(
        LogRecord(stream, offset + number, data)
        for number, data in enumerate(_records(body, _OFFSET_RANGE.size))
    )
    next_offset = offset + len(records)
    return ReadResult(records, next_offset, oldest, era, next_offset >= end)


def _records(body: bytes, position: int) -> Iterator[bytes]:
    while position < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        if position + length > len(body):
            raise ValueError("the last record is truncated")
        yield body[position : position + length]
        position += length


async def read_newest(client: LogClient, stream: str) -> NewestValues | LogFault:
    """Return the newest value of each key of a keyed stream."""
    values: dict[str, bytes] = {}
    after = ""
    end: int | None = None
    eras: set[int | None] = set()
    while True:
        answer = await _read_newest_page(client, stream, after)
        if isinstance(answer, LogFault):
            return answer
        page, era = answer
        eras |= {era} - {None}
        if len(eras) > 1:
            return LogFault.NOT_DONE  # the log was restored between two pages
        try:
            for item in page["items"]:
                after = str(item["key"])
                values[after] = base64.b64decode(item["value"])
            # Records may be appended while the pages are read, so later records are
            # read from the end of the stream as of the first page.
            end = int(page["range_end"]) if end is None else end
            if not page.get("has_more"):
                return NewestValues(values, end, era)
        except MALFORMED:
            return LogFault.NOT_DONE


async def _read_newest_page(
    client: LogClient, stream: str, after: str
) -> tuple[dict[str, Any], int | None] | LogFault:
    query = {"topic": stream, "part": _PARTITION}
    if after:
        query["after"] = after
    sent_at = boot_clock()
    try:
        async with client.session.get(
            f"http://{client.address}/log-newest",
            params=query,
            timeout=aiohttp.ClientTimeout(total=client.timeout_s),
        ) as response:
            body = await response.read()
            era = _era(response)
            if not client.on_answer(era, sent_at) or response.status != 200:
                return LogFault.NOT_DONE
            page = json.loads(body)
    except (TimeoutError, aiohttp.ClientError, ConnectionError, *MALFORMED):
        return LogFault.NOT_DONE
    return (page, era) if isinstance(page, dict) else LogFault.NOT_DONE


def keyed_record(key: str, value: bytes) -> bytes:
    """Return the record that sets ``key`` in a keyed stream.

    :raises ValueError: if the key is longer than 255 bytes in UTF-8.
    """
    key_bytes = key.encode()
    return bytes([len(key_bytes)]) + key_bytes + value


def split_keyed(record: bytes) -> tuple[str, bytes] | None:
    """Return the key and value of a keyed stream's record; ``None`` if malformed."""
    if not record or len(record) < 1 + record[0]:
        return None
    key_end = 1 + record[0]
    return record[1:key_end].decode(errors="replace"), record[key_end:]
