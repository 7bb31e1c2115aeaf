"""States of backend servers as nodes keep them in the log and tell each other."""

from __future__ import annotations

import json
from typing import Any

from _masticspoke.border.addresses import parse_address
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase


def state_object(server: BackendServer) -> list[Any]:
    """Return a state as a list that JSON can hold."""
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


def state_from(found: Any) -> BackendServer | None:
    """Return the state that a node wrote; ``None`` if it is malformed."""
    try:
        address, service, instance, born, sequence, zone, slots, phase, warm = found
        texts = (service, instance, zone)
        if not all(isinstance(text, str) for text in texts):
            return None
        return BackendServer(
            parse_address(address),
            service,
            instance,
            int(born),
            int(sequence),
            zone,
            int(slots),
            Phase(phase),
            int(warm),
        )
    except (ValueError, TypeError):
        return None


def encode_state(server: BackendServer) -> bytes:
    """Return the value of a state's record."""
    return json.dumps(state_object(server), separators=(",", ":")).encode()


def decode_state(value: bytes) -> BackendServer | None:
    """Return the state of a record; ``None`` if it is malformed."""
    try:
        return state_from(json.loads(value))
    except ValueError:
        return None
