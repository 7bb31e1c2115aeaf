"""Codec for backend server states in log records and in messages between nodes."""

from __future__ import annotations

import json
from typing import Any

from _masticspoke.border.addresses import parse_address
from _masticspoke.border.json_values import MALFORMED
from _masticspoke.border.json_values import plain_text
from _masticspoke.border.json_values import whole_number
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase

# More concurrent requests than any backend server runs.
MAX_SLOTS = 1_000_000


def state_to_list(server: BackendServer) -> list[Any]:
    """Return a state as a list of JSON values."""
    return [
        str(server.address),
        server.service,
        server.instance,
        server.born_ms,
        server.sequence,
        server.zone,
        server.slots,
        int(server.phase),
        server.warm_ms,
    ]


def state_from_list(values: Any) -> BackendServer | None:
    """Return the state of a decoded JSON list; ``None`` if it is malformed."""
    try:
        address, service, instance, born_ms, sequence, zone, slots, phase, warm_ms = (
            values
        )
        return BackendServer(
            parse_address(address),
            plain_text(service),
            plain_text(instance),
            whole_number(born_ms),
            whole_number(sequence),
            plain_text(zone),
            whole_number(slots, 1, MAX_SLOTS),
            Phase(phase),
            whole_number(warm_ms),
        )
    except MALFORMED:
        return None


def encode_state(server: BackendServer) -> bytes:
    """Return the value of a state's log record."""
    return json.dumps(state_to_list(server), separators=(",", ":")).encode()


def decode_state(value: bytes) -> BackendServer | None:
    """Return the state in a log record's value; ``None`` if it is malformed."""
    try:
        return state_from_list(json.loads(value))
    except MALFORMED:
        return None
