"""Adapter to the platform's append-only log service, over HTTP with JSON."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import final

import aiohttp
from pydantic import BaseModel
from pydantic import ValidationError

from _masticspoke.messages.control import LogRecord
from _masticspoke.model import Address


@final
class LogFault(Enum):
    """Why the log gave no answer; the value says what is known."""

    NOT_DONE = "the log refused or could not be reached; nothing was appended"
    UNKNOWN = "the answer was lost; the records may have been appended"


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
    :param next_offset: where to read on.
    :param oldest_offset: oldest offset that is still retained.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    oldest_offset: int


@final
class _AppendAnswer(BaseModel):
    offset: int


@final
class _RecordModel(BaseModel):
    offset: int
    data: str


@final
class _ReadAnswer(BaseModel):
    records: list[_RecordModel]
    next: int
    oldest: int


@final
@dataclass(frozen=True, slots=True)
class LogClient:
    """Connection to the log service.

    :param session: owned by the task that owns the client.
    :param timeout_s: time for one request.
    """

    session: aiohttp.ClientSession
    address: Address
    timeout_s: float


async def append(
    client: LogClient, stream: str, records: Sequence[bytes]
) -> Appended | LogFault:
    """Append records to a stream, in one request."""
    url = f"http://{client.address}/append"
    body = {
        "stream": stream,
        "records": [base64.b64encode(record).decode() for record in records],
    }
    timeout = aiohttp.ClientTimeout(total=client.timeout_s)
    try:
        async with client.session.post(url, json=body, timeout=timeout) as response:
            text = await response.read()
            if response.status != 200:
                return LogFault.NOT_DONE if response.status < 500 else LogFault.UNKNOWN
            return Appended(_AppendAnswer.model_validate_json(text).offset)
    except aiohttp.ClientConnectorError:
        return LogFault.NOT_DONE
    except (TimeoutError, aiohttp.ClientError, ValidationError):
        return LogFault.UNKNOWN


async def read(
    client: LogClient, stream: str, offset: int, wait_s: float
) -> ReadResult | LogFault:
    """Read records from ``offset`` on; wait up to ``wait_s`` for a first one."""
    url = f"http://{client.address}/read"
    query = {"stream": stream, "from": str(offset), "wait_ms": str(int(wait_s * 1000))}
    timeout = aiohttp.ClientTimeout(total=client.timeout_s + wait_s)
    try:
        async with client.session.get(url, params=query, timeout=timeout) as response:
            text = await response.read()
            if response.status != 200:
                return LogFault.NOT_DONE
            answer = _ReadAnswer.model_validate_json(text)
    except (TimeoutError, aiohttp.ClientError, ValidationError):
        return LogFault.NOT_DONE
    records = tuple(
        LogRecord(stream, r.offset, base64.b64decode(r.data)) for r in answer.records
    )
    return ReadResult(records, answer.next, answer.oldest)
