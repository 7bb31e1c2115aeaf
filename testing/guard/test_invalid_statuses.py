"""Answers of backend servers whose status is no answer, in the product's front end."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import web
from testing.guard.test_run import BackendHandler
from testing.guard.test_run import FakeGuard
from testing.guard.test_run import run_call_at
from testing.guard.test_run import run_ends
from testing.guard.test_run import with_backend

from _masticspoke.messages.guard import NotAdmitted
from _masticspoke.messages.suspects import RunEnd
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason

# Far below the deadline of 30 s.
MAX_ANSWER_S = 1.0


def open_with(status: bytes) -> BackendHandler:
    """Return a handler that answers and leaves the connection open."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %b\r\nContent-Length: 2\r\n\r\nok" % status)
        await reader.read()
        writer.close()

    return answer


async def endless_interim(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    while not writer.transport.is_closing():
        writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        await asyncio.sleep(0.005)


async def interim_then_whole(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    for _ in range(2):
        writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
        await asyncio.sleep(0.02)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    writer.close()


# LOST: status 000 reached the client as a response.
@pytest.mark.parametrize(
    "handler",
    [
        open_with(b"000 Odd"),
        open_with(b"099 Odd"),
        open_with(b"600 Odd"),
        open_with(b"999 Odd"),
        open_with(b"101 Switching Protocols"),
        open_with(b"101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade"),
        endless_interim,
    ],
)
def test_message_that_is_no_answer_is_an_unknown_outcome_at_once(
    handler: BackendHandler,
) -> None:
    async def check(guard: FakeGuard) -> None:
        async with asyncio.timeout(MAX_ANSWER_S):
            result = await run_call_at(guard)
        assert isinstance(result, NotAdmitted)
        assert result.refusal.reason is Reason.BACKEND_FAILED
        assert result.refusal.ran is Ran.UNKNOWN
        assert run_ends(guard) == [RunEnd.FAILED]

    with_backend(handler, check)


# LOST: an answer in a later segment than the interim one was taken for stray data.
def test_answer_behind_interim_ones_is_delivered() -> None:
    async def check(guard: FakeGuard) -> None:
        async with asyncio.timeout(MAX_ANSWER_S):
            result = await run_call_at(guard)
        assert isinstance(result, web.Response)
        assert (result.status, result.body) == (200, b"ok")

    with_backend(interim_then_whole, check)
