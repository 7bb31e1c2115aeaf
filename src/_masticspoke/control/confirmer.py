"""Asks the other members of a view to keep claims, and tells the home who does."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from _masticspoke.border.once import MAX_CONFIRM_REQUESTS
from _masticspoke.control.home import HomeMessage
from _masticspoke.control.peer_client import ask_to_keep
from _masticspoke.control.peer_client import PeerClient
from _masticspoke.control.peer_client import PeerFault
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

    What waits for one node goes in one request; a silent node delays no other one.
    """

    async def ask(node: Address, questions: Sequence[ConfirmRequest]) -> None:
        answers = await ask_to_keep(client, node, questions)
        if not isinstance(answers, PeerFault):
            for answer in answers:
                home.tell(answer)

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        async with asyncio.TaskGroup() as group:
            while True:
                for node, questions in _by_node(await inbox.receive()).items():
                    for first in range(0, len(questions), MAX_CONFIRM_REQUESTS):
                        batch = questions[first : first + MAX_CONFIRM_REQUESTS]
                        group.create_task(ask(node, batch))

    return run


def _by_node(
    messages: Sequence[SendConfirmRequest],
) -> dict[Address, list[ConfirmRequest]]:
    nodes: dict[Address, list[ConfirmRequest]] = {}
    for message in messages:
        nodes.setdefault(message.to.node, []).append(message.request)
    return nodes
