"""Heartbeats and deregistrations of the backend server on this VM."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from typing import Any
from typing import TypeGuard
from urllib.parse import unquote

from aiohttp import hdrs

from _masticspoke.border.addresses import parse_address
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.events import Event
from _masticspoke.fleet.counts import TrailMessage
from _masticspoke.fleet.messages import Deregistered
from _masticspoke.fleet.messages import Heartbeat
from _masticspoke.fleet.note import Note
from _masticspoke.fleet.registry import RegistryMessage
from _masticspoke.http_server import Handler
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.model import Address
from _masticspoke.platform.names import DEREGISTER_PREFIX
from _masticspoke.platform.names import HEARTBEAT_PREFIX
from _masticspoke.platform.names import PHASES
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

_MAX_BYTES = 65_536
_JSON = {str(hdrs.CONTENT_TYPE): "application/json"}
# A backend server takes an acknowledgement within a second.
_ANSWER_S = 0.9


def control_plane_handler(
    registry: Mailbox[RegistryMessage], trail: Mailbox[TrailMessage], own: Address
) -> Handler:
    """Return the handler of what the own backend server says of itself.

    :param own: address of the own backend server.
    """

    async def handle(request: Request) -> Response:
        path = request.path
        if path.startswith(HEARTBEAT_PREFIX):
            return await _heartbeat(registry, trail, own, request)
        if path.startswith(DEREGISTER_PREFIX):
            return await _deregister(registry, request)
        return Response(404, body=b"no such call\n")

    return handle


async def _heartbeat(
    registry: Mailbox[RegistryMessage],
    trail: Mailbox[TrailMessage],
    own: Address,
    request: Request,
) -> Response:
    instance = unquote(request.path[len(HEARTBEAT_PREFIX) :])
    server = decode_heartbeat(instance, await request.body(_MAX_BYTES), time.time())
    if isinstance(server, str) or server.address != own:
        detail = server if isinstance(server, str) else f"address is not {own}"
        fields = {"instance": instance, "detail": detail}
        trail.tell(Note(Event.HEARTBEAT_REJECTED, fields, Importance.FAILURE))
        return Response(400, body=f"heartbeat: {detail}\n".encode())
    reply: Reply[bool] = Reply()
    return await _told(registry, Heartbeat(server, reply), reply)


async def _deregister(registry: Mailbox[RegistryMessage], request: Request) -> Response:
    instance = unquote(request.path[len(DEREGISTER_PREFIX) :])
    found = _object(await request.body(_MAX_BYTES))
    born = found.get("born")
    reply: Reply[bool] = Reply()
    message = Deregistered(instance, born if _is_int(born) else None, Phase.GONE, reply)
    return await _told(registry, message, reply)


async def _told(
    registry: Mailbox[RegistryMessage],
    message: Heartbeat | Deregistered,
    reply: Reply[bool],
) -> Response:
    """Tell the registry, and acknowledge when the news is in force."""
    in_force = await ask(registry, message, reply, _ANSWER_S)
    return Response(200, _JSON, b"{}") if in_force else Response(503)


def _object(body: bytes) -> Mapping[str, Any]:
    try:
        found = json.loads(body)
    except ValueError:
        return {}
    return found if isinstance(found, dict) else {}


def decode_heartbeat(instance: str, body: bytes, wall_s: float) -> BackendServer | str:
    """Return the state that a heartbeat tells, or what is wrong with it.

    :param wall_s: Unix time now; the warm-up is told as what is left of it.
    """
    found = _object(body)
    texts = [found.get(name) for name in ("service", "zone", "address")]
    if not instance or not all(isinstance(text, str) and text for text in texts):
        return "id, service, zone or address is missing"
    phase = PHASES.get(str(found.get("state")))
    if phase is None:
        return "state is unknown"
    slots, sequence, born = (
        found.get("slots"),
        found.get("sequence"),
        found.get("born", 0),
    )
    if not (_is_int(slots) and _is_int(sequence) and _is_int(born)) or slots < 1:
        return "slots, sequence or born is not a whole number"
    try:
        address = parse_address(found["address"])
    except ValueError as error:
        return str(error)
    warm_left = found.get("warmup_left_ms")
    warm_ms = warm_left if _is_int(warm_left) else 0
    return BackendServer(
        address=address,
        service=found["service"],
        instance=instance,
        born_ms=born,
        sequence=sequence,
        zone=found["zone"],
        slots=slots,
        phase=phase,
        warm_ms=int(wall_s * 1000) + warm_ms if warm_ms else 0,
    )


def _is_int(value: Any) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)
