"""Receive suspects from other guards: requests during which a server crashed."""

from __future__ import annotations

from aiohttp import web

from _masticspoke.border.suspects import decode_suspects
from _masticspoke.border.suspects import MAX_SUSPECTS_BYTES
from _masticspoke.entry.listener import Handler
from _masticspoke.exchange import read_bounded
from _masticspoke.exchange import refusal_response
from _masticspoke.guard.suspects import SuspectsMessage
from _masticspoke.messages.suspects import SuspectsReceived
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox


def suspects_handler(suspects: Mailbox[SuspectsMessage]) -> Handler:
    """Return the handler of the control request that reports suspects."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        body = await read_bounded(request, MAX_SUSPECTS_BYTES)
        updates = None if body is None else decode_suspects(body)
        if updates is None:
            detail = "malformed or too long list of suspects"
            return refusal_response(Refusal(Reason.MALFORMED, detail=detail))
        if suspects.tell(SuspectsReceived(updates)) is Delivery.FULL:
            return refusal_response(Refusal(Reason.BUSY))
        return web.Response(status=204)

    return handle
