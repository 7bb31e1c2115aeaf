"""The confirmer: sends the home's confirm requests and returns the confirmations."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from _masticspoke.border.once import MAX_CONFIRM_REQUESTS
from _masticspoke.control.home import HomeMessage
from _masticspoke.control.peer_client import PeerClient
from _masticspoke.control.peer_client import PeerFault
from _masticspoke.control.peer_client import request_confirmations
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import SendConfirmRequest
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox


def confirmer(
    inbox: Mailbox[SendConfirmRequest], home: Mailbox[HomeMessage], client: PeerClient
) -> ChildBody:
    """Return the body of the confirmer's task.

    Requests that wait for the same node are sent together. A node that does not answer
    delays no other node.
    """

    async def send_requests(node: Address, requests: Sequence[ConfirmRequest]) -> None:
        confirmations = await request_confirmations(client, node, requests)
        if not isinstance(confirmations, PeerFault):
            for confirmation in confirmations:
                home.tell(confirmation)

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        async with asyncio.TaskGroup() as group:
            while True:
                for node, requests in _requests_by_node(await inbox.receive()).items():
                    for start in range(0, len(requests), MAX_CONFIRM_REQUESTS):
                        batch = requests[start : start + MAX_CONFIRM_REQUESTS]
                        group.create_task(send_requests(node, batch))

    return run


def _requests_by_node(
    messages: Sequence[SendConfirmRequest],
) -> dict[Address, list[ConfirmRequest]]:
    by_node: dict[Address, list[ConfirmRequest]] = {}
    for message in messages:
        by_node.setdefault(message.to.node, []).append(message.request)
    return by_node
