"""Serve requests of clients and outgoing calls of the local backend server."""

from __future__ import annotations

from aiohttp import web

from _masticspoke.border.headers import passed_through
from _masticspoke.border.headers import request_shape
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.dispatch.serving import serve_request
from _masticspoke.entry.listener import Handler
from _masticspoke.exchange import refusal_response
from _masticspoke.messages.runs import Lend
from _masticspoke.model import Loan
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Reply


def client_handler(port: DispatchPort, *, from_backend: bool) -> Handler:
    """Return the handler of requests that enter the system at this node.

    :param from_backend: whether the local backend server sends them.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        shape = request_shape(
            request.method, request.raw_path, request.headers, from_backend=from_backend
        )
        if not from_backend and passed_through(request.headers, port.guard.own_address):
            shape = Refusal(Reason.LOOP, detail="the request came from this node")
        if isinstance(shape, Refusal):
            return refusal_response(shape)
        loan = await _ask_loan(port, shape, _request_hash(request, shape))
        if isinstance(loan, Refusal):
            return refusal_response(loan)
        answer = await serve_request(port, request, shape, loan)
        return refusal_response(answer) if isinstance(answer, Refusal) else answer

    return handle


def _request_hash(request: web.BaseRequest, shape: RequestShape) -> int | None:
    """Return a number that is the same when a request is sent again.

    ``None`` for a request with a body and without a key: requests that differ only in
    their bodies can't be distinguished before these are read.
    """
    if request.can_read_body and shape.key is None:
        return None
    return hash((shape.method, request.raw_path, shape.key))


async def _ask_loan(
    port: DispatchPort, shape: RequestShape, request_hash: int | None
) -> Loan | Refusal | None:
    """Return the loan of the running call that sent a request, if there is one."""
    if not shape.from_backend or shape.trace is None:
        return None
    message = Lend(shape.trace, request_hash, Reply())
    return await ask_or(port.guard.runs, message, message.reply, None)
