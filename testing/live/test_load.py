"""The load generator detects each kind of wrong or incomplete answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import RawTestServer
from testing.live.load import Kind
from testing.live.load import send
from testing.live.load import Tally

READ = Kind("inspection-read", "line", "GET", "/inspections/1?x=1", "inspect-desk")
BOOKING = Kind("tooling-booking", "bookings", "POST", "/bookings", "inspect-desk")
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def answering(**changes: object) -> Handler:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        answer = {"echo": request.query["echo"], "service": "inspect-desk"}
        return web.json_response({**answer, "child": None, **changes})

    return handle


async def refuse(request: web.BaseRequest) -> web.StreamResponse:
    headers = {"Masticspoke-Refused": "busy"}
    body = {"reason": "busy", "ran": "no"}
    kind = "application/problem+json"
    return web.json_response(body, status=503, headers=headers, content_type=kind)


async def fail(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=503)


async def truncate(request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Length": "100"})
    await response.prepare(request)
    await response.write(b"half")
    assert request.transport is not None
    request.transport.abort()
    return response


def tally_of(handler: Handler, kind: Kind) -> Tally:
    async def run() -> Tally:
        tally = Tally()
        server = RawTestServer(handler)  # type: ignore[arg-type]
        async with server, aiohttp.ClientSession() as session:
            await send(session, str(server.make_url("")).rstrip("/"), kind, tally)
        return tally

    return asyncio.run(run())


def test_correct_answer_counts_as_served() -> None:
    tally = tally_of(answering(), READ)

    assert (tally.served["line"], tally.broken, tally.sent("line")) == (1, [], 1)


@pytest.mark.parametrize(
    "changes",
    [{"echo": "another's"}, {"service": "dennik"}, {"child": {"service": "dennik"}}],
)
def test_wrong_answer_is_recorded_as_a_violation(changes: dict[str, object]) -> None:
    assert len(tally_of(answering(**changes), READ).broken) == 1


def test_key_of_a_request_refused_as_not_run_is_recorded() -> None:
    tally = tally_of(refuse, BOOKING)

    assert tally.refused["bookings", "busy"] == 1
    assert len(tally.not_run_keys) == 1


def test_nested_failures_and_truncated_answers_are_counted_apart() -> None:
    assert tally_of(fail, READ).inner["line"] == 1
    assert tally_of(truncate, READ).cut["line"] == 1
