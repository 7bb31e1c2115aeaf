"""Requests of clients, and calls that the own backend server makes."""

from __future__ import annotations

from aiohttp import web

from _masticspoke.border.headers import request_shape
from _masticspoke.dispatch.conduct import conduct
from _masticspoke.dispatch.conduct import DispatchPort
from _masticspoke.entry.listener import Handler
from _masticspoke.exchange import outgoing
from _masticspoke.exchange import refusal_response
from _masticspoke.messages import FindParent
from _masticspoke.model import Call
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Reply


def client_handler(
    port: DispatchPort, buffer_bytes: int, *, from_backend: bool
) -> Handler:
    """Return the handler of requests that enter the system at this node.

    :param buffer_bytes: bodies up to this size can be sent a second time.
    :param from_backend: whether the own backend server sends them.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        shape = request_shape(
            request.method, request.path, request.headers, from_backend=from_backend
        )
        if isinstance(shape, Refusal):
            return refusal_response(shape)
        parent = await _parent(port, shape)
        sent = await outgoing(request, buffer_bytes)
        answer = await conduct(port, request, shape, parent, sent)
        return refusal_response(answer) if isinstance(answer, Refusal) else answer

    return handle


async def _parent(port: DispatchPort, shape: RequestShape) -> Call | None:
    if not shape.from_backend or shape.trace is None:
        return None
    question = FindParent(shape.trace, Reply())
    if port.guard.gate.tell(question) is Delivery.FULL:
        return None
    return await question.reply.value()
