"""``masticspoke status``: show the status of one node, or of all that it knows."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

from _masticspoke.border.status import decode_status
from _masticspoke.cli.log_access import parse_address_option
from _masticspoke.cli.node_access import fetch_statuses
from _masticspoke.control.peer_client import PeerFault
from _masticspoke.errors import NodeUnavailableError
from _masticspoke.messages.control import NodeStatus
from _masticspoke.model import Address


def show_status(options: argparse.Namespace) -> int:
    """Print the status of a node, and with ``--all`` of all nodes that it knows.

    :return: 0, or the exit code of :class:`NodeUnavailableError` when one of the other
        nodes gives no answer.
    :raises NodeUnavailableError: when the node itself gives no valid answer.
    """
    node = parse_address_option("node", options.node)
    status, bodies = asyncio.run(fetch_statuses(node, all_nodes=options.all))
    if options.json:
        _print_json(node, bodies, all_nodes=options.all)
    elif options.all:
        for address, body in bodies.items():
            print(_format_line(address, body))
    else:
        _print_status(status)
    unanswered = [a for a, body in bodies.items() if isinstance(body, PeerFault)]
    if not unanswered:
        return 0
    print(
        f"masticspoke: {len(unanswered)} of {len(bodies)} nodes gave no answer; "
        "check that they run",
        file=sys.stderr,
    )
    return NodeUnavailableError.exit_code


def _print_json(
    node: Address, bodies: dict[Address, bytes | PeerFault], *, all_nodes: bool
) -> None:
    by_node = {
        str(address): {"fault": body.value}
        if isinstance(body, PeerFault)
        else json.loads(body)
        for address, body in bodies.items()
    }
    print(json.dumps(by_node if all_nodes else by_node[str(node)]))


def _print_status(status: NodeStatus) -> None:
    print(f"catalogue version {status.catalogue_version}")
    for member in status.members:
        print(f"{member.service} {member.backend} node {member.node} {member.zone}")


def _format_line(node: Address, body: bytes | PeerFault) -> str:
    if isinstance(body, PeerFault):
        return f"{node} no answer: {body.value}"
    status = decode_status(body)
    if status is None:
        return f"{node} no answer: {PeerFault.MALFORMED.value}"
    own = [m for m in status.members if m.node == node]
    service = own[0].service if own else "no backend server"
    return (
        f"{node} {service} catalogue version {status.catalogue_version} "
        f"members {len(status.members)}"
    )
