"""The node: builds the supervisor tree and runs it until a stop signal."""

from __future__ import annotations

import asyncio
import secrets
import signal
import time
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from typing import Any
from typing import final

import aiomisc

from _masticspoke.border.paths import METRICS_PATH
from _masticspoke.border.paths import SUSPECTS_PATH
from _masticspoke.border.records import CATALOGUE_STREAM
from _masticspoke.border.records import MEMBERS_STREAM
from _masticspoke.border.settings import Settings
from _masticspoke.connections import connection_owner
from _masticspoke.control.confirmer import confirmer
from _masticspoke.control.departure import departure
from _masticspoke.control.gossip import gossip
from _masticspoke.control.gossip import GossipMessage
from _masticspoke.control.home import home
from _masticspoke.control.home import HomeMessage
from _masticspoke.control.home import HomeState
from _masticspoke.control.home_port import home_handlers
from _masticspoke.control.keeper import keeper
from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.control.knowledge import KeeperState
from _masticspoke.control.knowledge import Publish
from _masticspoke.control.knowledge import Published
from _masticspoke.control.log_reader import log_reader
from _masticspoke.control.log_writer import log_writer
from _masticspoke.control.log_writer import WriterMessage
from _masticspoke.control.peer_client import PeerClient
from _masticspoke.control.peer_port import control_handlers
from _masticspoke.decisions.handling import Handling
from _masticspoke.decisions.incarnation import first_incarnation
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import process_at
from _masticspoke.decisions.once.model import SendConfirmAsked
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.decisions.own_backend import OwnBackend
from _masticspoke.decisions.snapshots import SnapshotPolicy
from _masticspoke.dispatch.conduct import attempts
from _masticspoke.dispatch.conduct import DispatchPort
from _masticspoke.dispatch.keyed import HomePort
from _masticspoke.dispatch.keyed import serve_here
from _masticspoke.dispatch.router import router
from _masticspoke.dispatch.router import RouterMessage
from _masticspoke.entry.announcements import backend_handler
from _masticspoke.entry.clients import client_handler
from _masticspoke.entry.listener import Handler
from _masticspoke.entry.listener import listener
from _masticspoke.entry.listener import Opening
from _masticspoke.entry.peers import ControlHandlers
from _masticspoke.entry.peers import peer_handler
from _masticspoke.entry.suspects import suspects_handler
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.exchange import Connections
from _masticspoke.guard.gate import gate
from _masticspoke.guard.gate import GateMessage
from _masticspoke.guard.run import GuardPort
from _masticspoke.guard.runs import runs
from _masticspoke.guard.runs import RunsMessage
from _masticspoke.guard.suspect_sender import SenderMessage
from _masticspoke.guard.suspect_sender import suspect_sender
from _masticspoke.guard.suspects import suspects
from _masticspoke.guard.suspects import SuspectsMessage
from _masticspoke.messages.control import AskReady
from _masticspoke.messages.control import BackendAnnounced
from _masticspoke.messages.control import BackendLeaving
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.control import LogHealth
from _masticspoke.messages.control import LogRecords
from _masticspoke.messages.control import MembersChanged
from _masticspoke.messages.control import Resend
from _masticspoke.messages.control import ViewsChanged
from _masticspoke.metrics.account import Port
from _masticspoke.metrics.measure import malformed_counter
from _masticspoke.metrics.measure import measured
from _masticspoke.metrics.measure import metrics_handler
from _masticspoke.metrics.recorder import recorder
from _masticspoke.metrics.recorder import RecorderMessage
from _masticspoke.model import Address
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor

# Time that a starting node refuses connections of clients until it knows enough.
_READY_TIMEOUT_S = 5.0
# Time that the listeners get to close connections after requests were cut.
_CUT_S = 5.0


@final
@dataclass(frozen=True, slots=True)
class _Parts:
    """Mailboxes and connections that outlive a restart of their owners."""

    settings: Settings
    stop: PlannedStop
    incarnation: str
    router: Mailbox[RouterMessage]
    gate: Mailbox[GateMessage]
    runs: Mailbox[RunsMessage]
    suspects: Mailbox[SuspectsMessage]
    suspect_sender: Mailbox[SenderMessage]
    watched: Latest[frozenset[int]]
    keeper: Mailbox[KeeperMessage]
    writer: Mailbox[WriterMessage]
    recorder: Mailbox[RecorderMessage]
    gossip: Mailbox[GossipMessage]
    home: Mailbox[HomeMessage]
    confirmer: Mailbox[SendConfirmAsked]
    to_log: Connections
    to_peers: Connections
    to_nodes: Connections
    to_backend: Connections


def node_tree(settings: Settings) -> ChildBody:
    """Return the node's root supervisor; its branches are the package's folders."""
    parts = _parts(settings)
    branches = (
        ChildSpec("metrics", _metrics(parts), stop_timeout_s=1.0),
        ChildSpec("control", _control(parts), stop_timeout_s=5.0),
        ChildSpec("dispatch", _dispatch(parts), stop_timeout_s=5.0),
        ChildSpec("guard", _guard(parts), stop_timeout_s=5.0),
        ChildSpec("entry", _entry(parts), settings.node.stop_timeout_s + _CUT_S),
        ChildSpec(
            "departure",
            departure(parts.keeper, parts.stop, time.monotonic),
            settings.node.stop_timeout_s,
        ),
    )
    tree = supervisor("node", branches, time.monotonic)

    async def run(life: Lifecycle) -> None:
        try:
            await tree(life)
        finally:
            log_event(Event.NODE_STOPPED, node=settings.node.name)

    return run


def _parts(settings: Settings) -> _Parts:
    capacity = settings.limits.mailbox_messages
    return _Parts(
        settings=settings,
        stop=PlannedStop(settings.node.stop_timeout_s),
        incarnation=first_incarnation(int(time.time() * 1000), secrets.token_hex(4)),
        router=Mailbox(capacity),
        gate=Mailbox(capacity),
        runs=Mailbox(capacity),
        suspects=Mailbox(capacity),
        suspect_sender=Mailbox(capacity),
        watched=Latest(frozenset()),
        keeper=Mailbox(capacity),
        writer=Mailbox(capacity),
        recorder=Mailbox(capacity),
        gossip=Mailbox(capacity),
        home=Mailbox(capacity),
        confirmer=Mailbox(capacity),
        to_log=Connections(),
        to_peers=Connections(),
        to_nodes=Connections(),
        to_backend=Connections(),
    )


def _metrics(parts: _Parts) -> ChildBody:
    mailboxes: dict[str, Mailbox[Any]] = {
        "router": parts.router,
        "gate": parts.gate,
        "runs": parts.runs,
        "suspects": parts.suspects,
        "keeper": parts.keeper,
        "writer": parts.writer,
        "recorder": parts.recorder,
        "home": parts.home,
        "confirmer": parts.confirmer,
    }
    body = recorder(parts.recorder, mailboxes, time.monotonic)
    return supervisor("metrics", (ChildSpec("recorder", body),), time.monotonic)


def _publisher(parts: _Parts) -> Publish:
    """Return what hands a message of the keeper to each task that needs it."""
    subscribers: dict[type[Published], tuple[Mailbox[Any], ...]] = {
        CatalogueChanged: (parts.router, parts.gate, parts.recorder),
        MembersChanged: (parts.router, parts.gossip, parts.suspects),
        ViewsChanged: (parts.home,),
        LogRecords: (parts.home,),
        BackendAnnounced: (parts.gate, parts.suspects),
        BackendLeaving: (parts.gate,),
        LogHealth: (parts.recorder,),
    }

    def publish(message: Published) -> None:
        for subscriber in subscribers[type(message)]:
            subscriber.tell(message)

    return publish


def _control(parts: _Parts) -> ChildBody:
    log = parts.settings.log
    timeout_s = log.request_timeout_ms / 1000
    wait_s = log.poll_wait_ms / 1000
    pause_s = log.retry_pause_ms / 1000

    known = KeeperState(
        parts.writer,
        _publisher(parts),
        OwnBackend(parts.settings.node.peer_address, parts.incarnation),
        SnapshotPolicy(log.snapshot_records, log.snapshot_interval_s),
    )

    def reader(stream: str) -> ChildBody:
        return log_reader(
            parts.keeper,
            parts.to_log,
            log.address,
            stream,
            timeout_s,
            wait_s,
            pause_s,
        )

    writer = log_writer(
        parts.writer,
        parts.to_log,
        log.address,
        timeout_s,
        pause_s,
        parts.keeper.tell,
    )
    children = (
        ChildSpec("log_connections", connection_owner(parts.to_log, timeout_s), 1.0),
        ChildSpec("peer_connections", connection_owner(parts.to_peers, timeout_s), 1.0),
        ChildSpec("log_writer", writer),
        ChildSpec("keeper", keeper(parts.keeper, known, time.monotonic)),
        ChildSpec("catalogue_reader", reader(CATALOGUE_STREAM)),
        ChildSpec("members_reader", reader(MEMBERS_STREAM)),
        ChildSpec("gossip", _gossip(parts)),
        ChildSpec("home", home(parts.home, _home_state(parts), time.monotonic)),
        ChildSpec(
            "confirmer", confirmer(parts.confirmer, parts.home, _peer_client(parts))
        ),
    )
    return supervisor("control", children, time.monotonic)


def _process(parts: _Parts) -> Identity:
    return process_at(parts.settings.node.peer_address, parts.incarnation)


def _home_state(parts: _Parts) -> HomeState:
    once = OnceState(_process(parts), parts.settings.once.limits())
    return HomeState(once, parts.writer, parts.confirmer)


def _peer_client(parts: _Parts) -> PeerClient:
    return PeerClient(parts.to_peers, parts.settings.peers.request_timeout_ms / 1000)


def _gossip(parts: _Parts) -> ChildBody:
    peers = parts.settings.peers
    return gossip(
        parts.gossip,
        parts.keeper,
        _peer_client(parts),
        parts.settings.node.peer_address,
        peers.seeds,
        peers.gossip_interval_ms / 1000,
        time.monotonic,
    )


def _dispatch(parts: _Parts) -> ChildBody:
    settings = parts.settings
    node = settings.node
    connect_s = settings.limits.connect_timeout_ms / 1000
    route = router(parts.router, time.monotonic, node.peer_address, node.zone, Random())
    children = (
        ChildSpec("connections", connection_owner(parts.to_nodes, connect_s), 1.0),
        ChildSpec("router", _informed(parts, route)),
    )
    return supervisor("dispatch", children, time.monotonic)


def _guard(parts: _Parts) -> ChildBody:
    limits = parts.settings.limits
    connect_s = limits.connect_timeout_ms / 1000
    admit = gate(parts.gate, time.monotonic, limits.queue_calls, Random())
    suspect = suspects(
        parts.suspects,
        parts.suspect_sender,
        parts.watched,
        parts.settings.node.peer_address,
        time.monotonic,
    )
    sender = suspect_sender(parts.suspect_sender, parts.to_peers, connect_s)
    children = (
        ChildSpec("connections", connection_owner(parts.to_backend, connect_s), 1.0),
        ChildSpec("suspect_sender", sender),
        ChildSpec("suspects", _informed(parts, suspect)),
        ChildSpec("runs", runs(parts.runs, time.monotonic)),
        ChildSpec("gate", _informed(parts, admit)),
    )
    return supervisor("guard", children, time.monotonic)


def _informed(parts: _Parts, body: ChildBody) -> ChildBody:
    """Return a body that, each time it starts, asks for what is in force."""

    async def run(life: Lifecycle) -> None:
        parts.keeper.tell(Resend())
        await body(life)

    return run


def _entry(parts: _Parts) -> ChildBody:
    node = parts.settings.node
    buffer_bytes = parts.settings.limits.body_buffer_bytes
    guard_port = GuardPort(
        parts.gate,
        parts.runs,
        parts.suspects,
        parts.watched,
        parts.to_backend,
        time.monotonic,
        node.peer_address,
    )
    port = DispatchPort(
        parts.router, parts.to_nodes, guard_port, time.monotonic, buffer_bytes
    )
    home_port = HomePort(parts.home, port)
    serve = {
        Handling.PLAIN: attempts,
        Handling.KEYED: lambda _, held, first: serve_here(home_port, held, first),
    }
    port = replace(port, serve=serve)
    backend = backend_handler(
        parts.keeper,
        node.peer_address,
        node.zone,
        client_handler(port, from_backend=True),
    )
    peers = peer_handler(guard_port, home_port, buffer_bytes, _control_handlers(parts))
    clients = client_handler(port, from_backend=False)

    async def knowing_enough() -> None:
        reply: Reply[None] = Reply()
        await ask(parts.keeper, AskReady(reply), reply, _READY_TIMEOUT_S)

    def listening(
        port: Port, address: Address, handler: Handler, opening: Opening | None = None
    ) -> ChildSpec:
        counted = measured(handler, port, parts.recorder, time.monotonic)
        malformed = malformed_counter(port, parts.recorder, time.monotonic)
        body = listener(
            address, counted, malformed, parts.stop, time.monotonic, opening
        )
        return ChildSpec(port.value, body, node.stop_timeout_s + _CUT_S)

    children = (
        listening(Port.BACKEND, node.backend_address, backend),
        listening(Port.PEERS, node.peer_address, peers),
        listening(Port.CLIENTS, node.client_address, clients, knowing_enough),
    )
    return supervisor("entry", children, time.monotonic)


def _control_handlers(parts: _Parts) -> ControlHandlers:
    return {
        **control_handlers(parts.keeper, parts.gossip, _peer_client(parts)),
        **home_handlers(parts.home, _process(parts)),
        ("GET", METRICS_PATH): metrics_handler(parts.recorder),
        ("POST", SUSPECTS_PATH): suspects_handler(parts.suspects),
    }


def run_node(settings: Settings) -> None:
    """Run a node until SIGTERM or SIGINT."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        life = Lifecycle()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, life.request_stop)
        log_event(Event.NODE_STARTED, node=settings.node.name, zone=settings.node.zone)
        await node_tree(settings)(life)

    with aiomisc.entrypoint(log_config=False) as loop:
        loop.run_until_complete(main())
