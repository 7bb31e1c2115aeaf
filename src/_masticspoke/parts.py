"""Mailboxes, connections and settings that the branches of a node share."""

from __future__ import annotations

import secrets
import time
from dataclasses import dataclass
from typing import final

from _masticspoke.border.settings import Settings
from _masticspoke.connections import Connections
from _masticspoke.control.gossip import GossipMessage
from _masticspoke.control.home import HomeMessage
from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.control.log_writer import WriterMessage
from _masticspoke.control.peer_client import PeerClient
from _masticspoke.decisions.incarnation import first_incarnation
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import identity_at
from _masticspoke.decisions.once.model import SendConfirmRequest
from _masticspoke.dispatch.router import RouterMessage
from _masticspoke.guard.gate import GateMessage
from _masticspoke.guard.run import new_backend_connections
from _masticspoke.guard.runs import RunsMessage
from _masticspoke.guard.suspect_sender import SenderMessage
from _masticspoke.guard.suspects import SuspectsMessage
from _masticspoke.messages.control import Resend
from _masticspoke.metrics.recorder import RecorderMessage
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.planned_stop import PlannedStop

# Time for the listeners to close connections after aborting the last requests.
CONNECTION_CLOSE_S = 5.0


@final
@dataclass(frozen=True, slots=True)
class Parts:
    """Mailboxes and connections that outlive a restart of their owners.

    :param suspect_fingerprints: fingerprints of the requests that may run only when
        granted a turn.
    """

    settings: Settings
    stop: PlannedStop
    incarnation: str
    router: Mailbox[RouterMessage]
    gate: Mailbox[GateMessage]
    runs: Mailbox[RunsMessage]
    suspects: Mailbox[SuspectsMessage]
    suspect_sender: Mailbox[SenderMessage]
    suspect_fingerprints: Latest[frozenset[int]]
    keeper: Mailbox[KeeperMessage]
    writer: Mailbox[WriterMessage]
    recorder: Mailbox[RecorderMessage]
    gossip: Mailbox[GossipMessage]
    home: Mailbox[HomeMessage]
    confirmer: Mailbox[SendConfirmRequest]
    log_connections: Connections
    peer_connections: Connections
    node_connections: Connections
    backend_connections: Connections


def new_parts(settings: Settings) -> Parts:
    """Return the shared parts of a starting node."""
    capacity = settings.limits.mailbox_messages
    return Parts(
        settings=settings,
        stop=PlannedStop(settings.node.stop_timeout_s),
        incarnation=first_incarnation(int(time.time() * 1000), secrets.token_hex(4)),
        router=Mailbox(capacity),
        gate=Mailbox(capacity),
        runs=Mailbox(capacity),
        suspects=Mailbox(capacity),
        suspect_sender=Mailbox(capacity),
        suspect_fingerprints=Latest(frozenset()),
        keeper=Mailbox(capacity),
        writer=Mailbox(capacity),
        recorder=Mailbox(capacity),
        gossip=Mailbox(capacity),
        home=Mailbox(capacity),
        confirmer=Mailbox(capacity),
        log_connections=Connections(),
        peer_connections=Connections(),
        node_connections=Connections(),
        backend_connections=new_backend_connections(),
    )


def resend_on_start(parts: Parts, body: ChildBody) -> ChildBody:
    """Return a body that has the keeper resend the current state at each start."""

    async def run(life: Lifecycle) -> None:
        parts.keeper.tell(Resend())
        await body(life)

    return run


def own_identity(parts: Parts) -> Identity:
    """Return the identity of this process, as used in views."""
    return identity_at(parts.settings.node.peer_address, parts.incarnation)


def peer_client(parts: Parts) -> PeerClient:
    """Return the client for control requests to other nodes."""
    return PeerClient(
        parts.peer_connections, parts.settings.peers.request_timeout_ms / 1000
    )
