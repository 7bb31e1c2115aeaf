"""Run one call at the own backend server, once the gate admits it."""

from __future__ import annotations

import asyncio
import time
import zlib
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from _masticspoke.border.headers import encode_traceparent
from _masticspoke.border.headers import TRACE_HEADER
from _masticspoke.exchange import Connections
from _masticspoke.exchange import Outgoing
from _masticspoke.guard.gate import GateMessage
from _masticspoke.messages import Admit
from _masticspoke.messages import Admitted
from _masticspoke.messages import Finished
from _masticspoke.messages import NotAdmitted
from _masticspoke.messages import Withdrawn
from _masticspoke.model import Call
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

DeliverRun = Callable[
    [aiohttp.ClientResponse, LoadReport], Awaitable[web.StreamResponse]
]


@final
@dataclass(frozen=True, slots=True)
class GuardPort:
    """What a request's task needs in order to run a call at the guard."""

    gate: Mailbox[GateMessage]
    connections: Connections


async def run_call(
    port: GuardPort, call: Call, request: Outgoing, deliver: DeliverRun
) -> web.StreamResponse | NotAdmitted:
    """Ask the gate, run the call, and pass its answer to ``deliver``."""
    request.account.attempt(call)
    reply: Reply[Admitted | NotAdmitted] = Reply()
    question = Admit(call, fingerprint(request), reply)
    if port.gate.tell(question) is Delivery.FULL:
        return NotAdmitted(Refusal(Reason.BUSY), LoadReport())
    try:
        answer = await reply.value()
    except asyncio.CancelledError:
        port.gate.tell(Withdrawn(reply))
        raise
    if isinstance(answer, NotAdmitted):
        return answer
    return await _exchange(port, answer, request, deliver)


def fingerprint(request: Outgoing) -> int:
    """Return a number that is the same for the same method, path and body."""
    text = f"{request.method} {request.target}".encode()
    body = request.body if isinstance(request.body, bytes) else b""
    return zlib.crc32(body, zlib.crc32(text))


async def _exchange(
    port: GuardPort, admitted: Admitted, request: Outgoing, deliver: DeliverRun
) -> web.StreamResponse | NotAdmitted:
    started = time.monotonic()
    request.account.wait_began(started)
    crashed = False
    headers = CIMultiDict(request.headers)
    headers[TRACE_HEADER] = encode_traceparent(admitted.trace)
    try:
        async with port.connections.session.request(
            request.method,
            f"http://{admitted.backend}{request.target}",
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
        ) as upstream:
            request.account.wait_ended(time.monotonic())
            return await deliver(upstream, admitted.report)
    except aiohttp.ClientConnectorError as error:
        crashed = True
        refusal = Refusal(Reason.BACKEND_UNREACHABLE, Ran.NO, detail=str(error))
        return NotAdmitted(refusal, admitted.report)
    except (aiohttp.ClientError, ConnectionError) as error:
        crashed = True
        refusal = Refusal(Reason.BACKEND_FAILED, Ran.UNKNOWN, detail=repr(error))
        return NotAdmitted(refusal, admitted.report)
    finally:
        ended = time.monotonic()
        latency_s = ended - started
        request.account.wait_ended(ended)
        port.gate.tell(Finished(admitted.ticket, latency_s, crashed))
