"""Task that sends updates about crash suspects to the service's other guards.

A crash suspect is a request that was in flight when a backend server crashed.
"""

from __future__ import annotations

import asyncio

import aiohttp

from _masticspoke.border.paths import SUSPECTS_PATH
from _masticspoke.border.suspects import encode_suspects
from _masticspoke.connections import Connections
from _masticspoke.messages.suspects import SendSuspects
from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox

SenderMessage = SendSuspects


def suspect_sender(
    inbox: Mailbox[SenderMessage], connections: Connections, timeout_s: float
) -> ChildBody:
    """Return the body of the suspect sender's task.

    :param timeout_s: seconds that each guard has to answer.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        while True:
            for message in await inbox.receive():
                await _send_to_all(connections, message, timeout_s)

    return run


async def _send_to_all(
    connections: Connections, message: SendSuspects, timeout_s: float
) -> None:
    if message.suspects:
        body = encode_suspects(message.suspects)
        sends = (_send(connections, node, body, timeout_s) for node in message.nodes)
        await asyncio.gather(*sends)
    if message.reply is not None:
        message.reply.answer(None)


async def _send(
    connections: Connections, node: Address, body: bytes, timeout_s: float
) -> None:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    url = f"http://{node}{SUSPECTS_PATH}"
    try:
        async with connections.session.post(url, data=body, timeout=timeout) as answer:
            await answer.read()
    except (TimeoutError, aiohttp.ClientError, ConnectionError):
        # A guard that missed the update gets the crash count with the next attempt of
        # the call.
        return
