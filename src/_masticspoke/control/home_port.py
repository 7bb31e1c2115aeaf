"""Handlers of the peer port for confirm requests from other homes."""

from __future__ import annotations

from aiohttp import web

from _masticspoke.border.once import decode_confirm_requests
from _masticspoke.border.once import encode_confirmations
from _masticspoke.border.once import MAX_CONFIRM_BYTES
from _masticspoke.border.paths import KEEP_PATH
from _masticspoke.control.home import HomeMessage
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import Identity
from _masticspoke.entry.peers import ControlHandlers
from _masticspoke.exchange import read_bounded
from _masticspoke.exchange import refusal_response
from _masticspoke.messages.once import KeepClaims
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply


def home_handlers(home: Mailbox[HomeMessage], me: Identity) -> ControlHandlers:
    """Return the handlers of confirm requests, by method and path."""

    async def keep(request: web.BaseRequest) -> web.StreamResponse:
        body = await read_bounded(request, MAX_CONFIRM_BYTES)
        confirm_requests = None if body is None else decode_confirm_requests(body)
        if confirm_requests is None:
            detail = "malformed or too long request to keep claims"
            return refusal_response(Refusal(Reason.MALFORMED, detail=detail))
        reply: Reply[tuple[Confirmation, ...]] = Reply()
        confirmations = await ask(home, KeepClaims(confirm_requests, reply), reply)
        if confirmations is None:
            return refusal_response(Refusal(Reason.BUSY))
        encoded = encode_confirmations(me, confirmations)
        return web.Response(body=encoded, content_type="application/json")

    return {("POST", KEEP_PATH): keep}
