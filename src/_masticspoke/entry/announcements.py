"""Serve the local backend server at the backend address, usually on loopback.

It sends its announcements and its outgoing calls there.
"""

from __future__ import annotations

from aiohttp import web
from pydantic import ValidationError

from _masticspoke.border.announcement import decode_announcement
from _masticspoke.border.paths import BACKEND_PATH
from _masticspoke.border.paths import CONTROL_PREFIX
from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.entry.listener import Handler
from _masticspoke.entry.peers import ControlHandlers
from _masticspoke.entry.peers import route_control
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.exchange import read_bounded
from _masticspoke.exchange import refusal_response
from _masticspoke.messages.control import Announce
from _masticspoke.messages.control import BackendLeaving
from _masticspoke.model import Address
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

_MAX_ANNOUNCEMENT_BYTES = 65_536


def backend_handler(
    keeper: Mailbox[KeeperMessage],
    node: Address,
    zone: str,
    call_handler: Handler,
) -> Handler:
    """Return the handler of the backend address.

    :param call_handler: handler of the backend server's outgoing calls.
    """

    async def leave(request: web.BaseRequest) -> web.StreamResponse:
        if keeper.tell(BackendLeaving()) is Delivery.FULL:
            return refusal_response(Refusal(Reason.BUSY))
        return web.Response(status=204)

    control: ControlHandlers = {
        ("PUT", BACKEND_PATH): _announce_handler(keeper, node, zone),
        ("DELETE", BACKEND_PATH): leave,
    }

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path.startswith(CONTROL_PREFIX):
            return await route_control(request, control)
        return await call_handler(request)

    return handle


def _announce_handler(
    keeper: Mailbox[KeeperMessage], node: Address, zone: str
) -> Handler:
    async def announce(request: web.BaseRequest) -> web.StreamResponse:
        body = await read_bounded(request, _MAX_ANNOUNCEMENT_BYTES)
        if body is None:
            return _refuse(
                _malformed(f"announcement longer than {_MAX_ANNOUNCEMENT_BYTES} bytes")
            )
        try:
            member, ttl_s = decode_announcement(body, node, zone)
        except ValidationError as error:
            detail = f"{error.error_count()} faults in the announcement"
            return _refuse(_malformed(detail))
        reply: Reply[Refusal | None] = Reply()
        message = Announce(member, ttl_s, reply)
        refusal = await ask_or(keeper, message, reply, Refusal(Reason.BUSY))
        return web.Response(status=204) if refusal is None else _refuse(refusal)

    return announce


def _malformed(detail: str) -> Refusal:
    return Refusal(Reason.MALFORMED, detail=detail)


def _refuse(refusal: Refusal) -> web.Response:
    log_event(
        Event.ANNOUNCEMENT_REFUSED, reason=refusal.reason.value, detail=refusal.detail
    )
    return refusal_response(refusal)
