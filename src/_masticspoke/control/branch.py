"""The supervisor branch ``control``: log, keeper, gossip and the home of keys."""

from __future__ import annotations

import time
from typing import Any

from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.connections import connection_owner
from _masticspoke.control.confirmer import confirmer
from _masticspoke.control.gossip import gossip
from _masticspoke.control.home import home
from _masticspoke.control.home import HomeState
from _masticspoke.control.keeper import keeper
from _masticspoke.control.keeper_state import KeeperState
from _masticspoke.control.keeper_state import Publish
from _masticspoke.control.keeper_state import Published
from _masticspoke.control.log_reader import log_reader
from _masticspoke.control.log_writer import log_writer
from _masticspoke.decisions.local_backend import LocalBackend
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.decisions.snapshots import SnapshotPolicy
from _masticspoke.messages.control import BackendAnnounced
from _masticspoke.messages.control import BackendLeaving
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.control import LogHealth
from _masticspoke.messages.control import LogRecords
from _masticspoke.messages.control import MembersChanged
from _masticspoke.messages.control import ViewsChanged
from _masticspoke.parts import own_identity
from _masticspoke.parts import Parts
from _masticspoke.parts import peer_client
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor


def _publisher(parts: Parts) -> Publish:
    """Return a function that sends a keeper's message to each task that needs it."""
    subscribers_by_type: dict[type[Published], tuple[Mailbox[Any], ...]] = {
        CatalogueChanged: (parts.router, parts.gate, parts.recorder),
        MembersChanged: (parts.router, parts.gossip, parts.suspects),
        ViewsChanged: (parts.home,),
        LogRecords: (parts.home,),
        BackendAnnounced: (parts.gate, parts.suspects),
        BackendLeaving: (parts.gate,),
        LogHealth: (parts.recorder,),
    }

    def publish(message: Published) -> None:
        for subscriber in subscribers_by_type[type(message)]:
            subscriber.tell(message)

    return publish


def control_branch(parts: Parts) -> ChildBody:
    """Return the supervisor of this branch."""
    log = parts.settings.log
    timeout_s = log.request_timeout_ms / 1000
    wait_s = log.poll_wait_ms / 1000
    pause_s = log.retry_pause_ms / 1000

    keeper_state = KeeperState(
        parts.writer,
        _publisher(parts),
        LocalBackend(parts.settings.node.peer_address, parts.incarnation),
        SnapshotPolicy(log.snapshot_records, log.snapshot_interval_s),
    )

    def reader(stream: str) -> ChildBody:
        return log_reader(
            parts.keeper,
            parts.log_connections,
            log.address,
            stream,
            timeout_s,
            wait_s,
            pause_s,
        )

    writer = log_writer(
        parts.writer,
        parts.log_connections,
        log.address,
        timeout_s,
        pause_s,
        parts.keeper.tell,
    )
    children = (
        ChildSpec(
            "log_connections", connection_owner(parts.log_connections, timeout_s), 1.0
        ),
        ChildSpec(
            "peer_connections", connection_owner(parts.peer_connections, timeout_s), 1.0
        ),
        ChildSpec("log_writer", writer),
        ChildSpec("keeper", keeper(parts.keeper, keeper_state, time.monotonic)),
        ChildSpec("catalogue_reader", reader(CATALOGUE_STREAM)),
        ChildSpec("members_reader", reader(MEMBERS_STREAM)),
        ChildSpec("gossip", _gossip(parts)),
        ChildSpec("home", home(parts.home, _home_state(parts), time.monotonic)),
        ChildSpec(
            "confirmer", confirmer(parts.confirmer, parts.home, peer_client(parts))
        ),
    )
    return supervisor("control", children, time.monotonic)


def _home_state(parts: Parts) -> HomeState:
    once = OnceState(own_identity(parts), parts.settings.once.limits())
    return HomeState(once, parts.writer, parts.confirmer)


def _gossip(parts: Parts) -> ChildBody:
    peers = parts.settings.peers
    return gossip(
        parts.gossip,
        parts.keeper,
        peer_client(parts),
        parts.settings.node.peer_address,
        peers.seeds,
        peers.gossip_interval_ms / 1000,
        time.monotonic,
    )
