"""What nodes of a fleet tell each other about configuration and backend servers."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import final

from _masticspoke.border.backend_state import state_from
from _masticspoke.border.backend_state import state_object
from _masticspoke.decisions.fleet.model import BackendServer

SYNC_PATH = "/.masticspoke/sync"
MAX_SYNC_BYTES = 8 * 2**20


@final
@dataclass(frozen=True, slots=True)
class SyncMessage:
    """One half of an exchange.

    :param version: of the sender's configuration.
    :param digest: of the sender's states of backend servers.
    :param raw: the configuration itself; empty when the receiver has it.
    :param servers: states that the receiver may lack.
    """

    version: int
    digest: int
    raw: bytes
    servers: tuple[BackendServer, ...]


def encode_sync(news: SyncMessage) -> bytes:
    """Return the body of a request or answer."""
    return json.dumps(
        {
            "version": news.version,
            "digest": news.digest,
            "configuration": base64.b64encode(news.raw).decode(),
            "servers": [state_object(server) for server in news.servers],
        },
        separators=(",", ":"),
    ).encode()


def decode_sync(body: bytes) -> SyncMessage | None:
    """Return what a node told; ``None`` if it is malformed."""
    try:
        found = json.loads(body)
        states = [state_from(state) for state in found["servers"]]
        return SyncMessage(
            int(found["version"]),
            int(found["digest"]),
            base64.b64decode(found["configuration"]),
            tuple(state for state in states if state is not None),
        )
    except (ValueError, TypeError, KeyError):
        return None
