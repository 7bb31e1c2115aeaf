"""Request the catalogue and status of nodes."""

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
MAX_CONCURRENT_REQUESTS = 50
_REMEDY = "check the peer address and that the node runs"


def unavailable_error(node: Address, fault: PeerFault) -> NodeUnavailableError:
    """Return the error for a node that gave no valid answer."""
    return NodeUnavailableError(f"{node}: {fault.value}", _REMEDY)


def fetch_node_catalogue(node: Address) -> CatalogueState:
    """Return the newest catalogue that a node has received.

    :raises NodeUnavailableError: when it gives no valid answer.
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
        raise unavailable_error(node, state)
    return state


async def fetch_status_bodies(
    client: PeerClient, nodes: Sequence[Address]
) -> list[bytes | PeerFault]:
    """Return the encoded status of each node, or why it gave none."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch(node: Address) -> bytes | PeerFault:
        async with limit:
            return await fetch_status(client, node)

    return await asyncio.gather(*(fetch(node) for node in nodes))


def read_status(node: Address, body: bytes | PeerFault) -> NodeStatus:
    """Decode a node's status.

    :raises NodeUnavailableError: when ``body`` is a fault or malformed.
    """
    if isinstance(body, PeerFault):
        raise unavailable_error(node, body)
    status = decode_status(body)
    if status is None:
        raise unavailable_error(node, PeerFault.MALFORMED)
    return status


async def fetch_statuses(
    node: Address, *, all_nodes: bool
) -> tuple[NodeStatus, dict[Address, bytes | PeerFault]]:
    """Return a node's status, and the encoded status or the fault of each node asked.

    :param all_nodes: also ask all nodes that this one knows.
    :raises NodeUnavailableError: when ``node`` gives no valid answer.
    """
    connections = Connections()
    await connections.open(TIMEOUT_S)
    try:
        client = PeerClient(connections, TIMEOUT_S)
        bodies = dict(
            zip([node], await fetch_status_bodies(client, [node]), strict=True)
        )
        status = read_status(node, bodies[node])
        others = sorted({m.node for m in status.members} - {node}) if all_nodes else []
        answers = await fetch_status_bodies(client, others)
        bodies.update(zip(others, answers, strict=True))
        return status, bodies
    finally:
        await connections.close()
