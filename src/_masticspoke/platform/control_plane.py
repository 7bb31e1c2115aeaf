"""Handle heartbeats and deregistrations of the local backend server."""

from __future__ import annotations

import json
import time
from collections.abc import Mapping
from typing import Any
from typing import TypeGuard
from urllib.parse import unquote

from aiohttp import hdrs

from _masticspoke.border.addresses import parse_address
from _masticspoke.border.backend_state import MAX_SLOTS
from _masticspoke.border.json_values import MALFORMED
from _masticspoke.border.json_values import MAX_WHOLE
from _masticspoke.border.json_values import plain_text
from _masticspoke.border.json_values import whole_number
from _masticspoke.decisions.fleet.leaving import Leave
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.events import Event
from _masticspoke.fleet.knowledge.messages import Deregistered
from _masticspoke.fleet.knowledge.messages import Heartbeat
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.http_server import Handler
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.model import Address
from _masticspoke.platform.names import DEREGISTER_PREFIX
from _masticspoke.platform.names import HEARTBEAT_PREFIX
from _masticspoke.platform.names import PHASE_BY_STATE
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

_MAX_BODY_BYTES = 65_536
_JSON_HEADERS = {str(hdrs.CONTENT_TYPE): "application/json"}
# A backend server waits for an acknowledgement for one second.
_REGISTRY_TIMEOUT_S = 0.9


def control_plane_handler(
    registry: Mailbox[RegistryMessage],
    trail: Mailbox[TrailMessage],
    backend_address: Address,
) -> Handler:
    """Return the handler of heartbeats and deregistrations.

    :param backend_address: address of the local backend server.
    """

    async def handle(request: Request) -> Response:
        path = request.path
        if path.startswith(HEARTBEAT_PREFIX):
            return await _heartbeat(registry, trail, backend_address, request)
        if path.startswith(DEREGISTER_PREFIX):
            return await _deregister(registry, request)
        return Response(404, body=b"no such call\n")

    return handle


async def _heartbeat(
    registry: Mailbox[RegistryMessage],
    trail: Mailbox[TrailMessage],
    backend_address: Address,
    request: Request,
) -> Response:
    instance = unquote(request.path[len(HEARTBEAT_PREFIX) :])
    server = decode_heartbeat(
        instance, await request.body(_MAX_BODY_BYTES), time.time()
    )
    if isinstance(server, str) or server.address != backend_address:
        detail = (
            server if isinstance(server, str) else f"address is not {backend_address}"
        )
        fields = {"instance": instance, "detail": detail}
        trail.tell(EventRecord(Event.HEARTBEAT_REJECTED, fields, Importance.FAILURE))
        return Response(400, body=f"heartbeat: {detail}\n".encode())
    reply: Reply[bool] = Reply()
    return await _ask_registry(registry, Heartbeat(server, reply), reply)


async def _deregister(registry: Mailbox[RegistryMessage], request: Request) -> Response:
    instance = unquote(request.path[len(DEREGISTER_PREFIX) :])
    if not _is_name(instance):
        return Response(400, body=b"deregistration: the id is missing or no name\n")
    deregistration = _json_object(await request.body(_MAX_BODY_BYTES))
    leave = Leave(
        instance,
        _whole_or_none(deregistration.get("born")),
        _whole_or_none(deregistration.get("sequence")) or 0,
        Phase.GONE,
    )
    reply: Reply[bool] = Reply()
    return await _ask_registry(registry, Deregistered(leave, reply), reply)


async def _ask_registry(
    registry: Mailbox[RegistryMessage],
    message: Heartbeat | Deregistered,
    reply: Reply[bool],
) -> Response:
    """Send a message to the registry; answer 200 once the registry has handled it.

    The answer is 503 if the registry does not confirm that in time.
    """
    applied = await ask(registry, message, reply, _REGISTRY_TIMEOUT_S)
    return Response(200, _JSON_HEADERS, b"{}") if applied else Response(503)


def _json_object(body: bytes) -> Mapping[str, Any]:
    try:
        value = json.loads(body)
    except MALFORMED:
        return {}
    return value if isinstance(value, dict) else {}


def decode_heartbeat(instance: str, body: bytes, wall_s: float) -> BackendServer | str:
    """Return the state in a heartbeat, or an error text if it is malformed.

    :param wall_s: current Unix time, seconds; the end of the warm-up is computed from
        it, as the heartbeat reports only the time left.
    """
    heartbeat = _json_object(body)
    texts = [heartbeat.get(name) for name in ("service", "zone", "address")]
    if not all(_is_name(text) for text in (instance, *texts)):
        return "id, service, zone or address is missing or no name"
    phase = PHASE_BY_STATE.get(str(heartbeat.get("state")))
    if phase is None:
        return "state is unknown"
    try:
        slots = whole_number(heartbeat.get("slots"), 1, MAX_SLOTS)
        sequence = whole_number(heartbeat.get("sequence"))
        born = whole_number(heartbeat.get("born", 0))
    except ValueError as error:
        return f"slots, sequence or born: {error}"
    try:
        address = parse_address(heartbeat["address"])
    except ValueError as error:
        return str(error)
    warmup_left_ms = heartbeat.get("warmup_left_ms")
    left_ms = warmup_left_ms if _is_int(warmup_left_ms) else 0
    return BackendServer(
        address=address,
        service=heartbeat["service"],
        instance=instance,
        born_ms=born,
        sequence=sequence,
        zone=heartbeat["zone"],
        slots=slots,
        phase=phase,
        warm_ms=int(wall_s * 1000) + left_ms if left_ms else 0,
    )


def _is_name(value: Any) -> bool:
    try:
        return plain_text(value) != ""
    except MALFORMED:
        return False


def _whole_or_none(value: Any) -> int | None:
    return value if _is_int(value) and 0 <= value <= MAX_WHOLE else None


def _is_int(value: Any) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool)
