"""The supervisor branch ``entry``: the listening sockets."""

from __future__ import annotations

import time
from dataclasses import replace

from _masticspoke.border.paths import METRICS_PATH
from _masticspoke.border.paths import SUSPECTS_PATH
from _masticspoke.control.home_port import home_handlers
from _masticspoke.control.peer_port import control_handlers
from _masticspoke.decisions.handling import Handling
from _masticspoke.dispatch.keyed import HomePort
from _masticspoke.dispatch.keyed import serve_keyed
from _masticspoke.dispatch.port import DispatchPort
from _masticspoke.dispatch.serving import run_attempts
from _masticspoke.entry.announcements import backend_handler
from _masticspoke.entry.clients import client_handler
from _masticspoke.entry.listener import BeforeOpen
from _masticspoke.entry.listener import Handler
from _masticspoke.entry.listener import listener
from _masticspoke.entry.peers import ControlHandlers
from _masticspoke.entry.peers import peer_handler
from _masticspoke.entry.suspects import suspects_handler
from _masticspoke.guard.run import GuardPort
from _masticspoke.messages.control import AskReady
from _masticspoke.metrics.measure import malformed_counter
from _masticspoke.metrics.measure import measured
from _masticspoke.metrics.measure import metrics_handler
from _masticspoke.metrics.measurements import Port
from _masticspoke.model import Address
from _masticspoke.parts import CONNECTION_CLOSE_S
from _masticspoke.parts import own_identity
from _masticspoke.parts import Parts
from _masticspoke.parts import peer_client
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor

# A starting node refuses connections of clients until the keeper's catalogue and
# members may be acted on, but no longer than this.
_READY_TIMEOUT_S = 5.0


def entry_branch(parts: Parts) -> ChildBody:
    """Return the supervisor of this branch."""
    node = parts.settings.node
    buffer_bytes = parts.settings.limits.body_buffer_bytes
    guard_port = GuardPort(
        parts.gate,
        parts.runs,
        parts.suspects,
        parts.suspect_fingerprints,
        parts.backend_connections,
        time.monotonic,
        node.peer_address,
    )
    dispatch_port = DispatchPort(
        parts.router, parts.node_connections, guard_port, time.monotonic, buffer_bytes
    )
    home_port = HomePort(parts.home, dispatch_port)
    serve = {
        Handling.PLAIN: run_attempts,
        Handling.KEYED: lambda _, state, first: serve_keyed(home_port, state, first),
    }
    dispatch_port = replace(dispatch_port, serve=serve)
    backend = backend_handler(
        parts.keeper,
        node.peer_address,
        node.zone,
        client_handler(dispatch_port, from_backend=True),
    )
    peers = peer_handler(guard_port, home_port, buffer_bytes, _control_handlers(parts))
    clients = client_handler(dispatch_port, from_backend=False)

    async def wait_ready() -> None:
        reply: Reply[None] = Reply()
        await ask(parts.keeper, AskReady(reply), reply, _READY_TIMEOUT_S)

    def listening(
        port: Port,
        address: Address,
        handler: Handler,
        before_open: BeforeOpen | None = None,
    ) -> ChildSpec:
        measured_handler = measured(handler, port, parts.recorder, time.monotonic)
        on_malformed = malformed_counter(port, parts.recorder, time.monotonic)
        body = listener(
            address,
            measured_handler,
            on_malformed,
            parts.stop,
            time.monotonic,
            before_open,
        )
        return ChildSpec(port.value, body, node.stop_timeout_s + CONNECTION_CLOSE_S)

    children = (
        listening(Port.BACKEND, node.backend_address, backend),
        listening(Port.PEERS, node.peer_address, peers),
        listening(Port.CLIENTS, node.client_address, clients, wait_ready),
    )
    return supervisor("entry", children, time.monotonic)


def _control_handlers(parts: Parts) -> ControlHandlers:
    return {
        **control_handlers(parts.keeper, parts.gossip, peer_client(parts)),
        **home_handlers(parts.home, own_identity(parts)),
        ("GET", METRICS_PATH): metrics_handler(parts.recorder),
        ("POST", SUSPECTS_PATH): suspects_handler(parts.suspects),
    }
