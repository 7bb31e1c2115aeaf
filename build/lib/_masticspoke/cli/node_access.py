"""How the command line asks nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from _masticspoke.border.status import decode_status
from _masticspoke.connections import Connections
from _masticspoke.control.peer_client import fetch_catalogue
from _masticspoke.control.peer_client import fetch_status
from _masticspoke.control.peer_client import PeerClient
from _masticspoke.control.peer_client import PeerFault
from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.errors import NodeUnavailableError
from _masticspoke.messages.control import NodeStatus
from _masticspoke.model import Address

TIMEOUT_S = 5.0
MAX_ASKED_AT_ONCE = 50
_REMEDY = "check the peer address and that the node runs"


def unavailable(node: Address, fault: PeerFault) -> NodeUnavailableError:
    """Return the error for a node that gave no answer."""
    return NodeUnavailableError(f"{node}: {fault.value}", _REMEDY)


def catalogue_of_node(node: Address) -> CatalogueState:
    """Return the catalogue that a node knows.

    :raises NodeUnavailableError: when it gives no answer.
    """

    async def main() -> CatalogueState | PeerFault:
        connections = Connections()
        await connections.open(TIMEOUT_S)
        try:
            return await fetch_catalogue(PeerClient(connections, TIMEOUT_S), node)
        finally:
            await connections.close()

    state = asyncio.run(main())
    if isinstance(state, PeerFault):
        raise unavailable(node, state)
    return state


async def status_bodies(
    client: PeerClient, nodes: Sequence[Address]
) -> list[bytes | PeerFault]:
    """Return the status of each node, as it was sent."""
    free = asyncio.Semaphore(MAX_ASKED_AT_ONCE)

    async def one(node: Address) -> bytes | PeerFault:
        async with free:
            return await fetch_status(client, node)

    return await asyncio.gather(*(one(node) for node in nodes))


def read_status(node: Address, body: bytes | PeerFault) -> NodeStatus:
    """Return a node's status.

    :raises NodeUnavailableError: when there is none.
    """
    if isinstance(body, PeerFault):
        raise unavailable(node, body)
    status = decode_status(body)
    if status is None:
        raise unavailable(node, PeerFault.MALFORMED)
    return status


async def ask_fleet(
    node: Address, *, every: bool
) -> tuple[NodeStatus, dict[Address, bytes | PeerFault]]:
    """Return a node's status, and the bodies of it and of the nodes that it knows.

    :param every: whether to ask the nodes that it knows.
    :raises NodeUnavailableError: when the first node gives no answer.
    """
    connections = Connections()
    await connections.open(TIMEOUT_S)
    try:
        client = PeerClient(connections, TIMEOUT_S)
        bodies = dict(zip([node], await status_bodies(client, [node]), strict=True))
        status = read_status(node, bodies[node])
        others = sorted({m.node for m in status.members} - {node}) if every else []
        answers = await status_bodies(client, others)
        bodies.update(zip(others, answers, strict=True))
        return status, bodies
    finally:
        await connections.close()
