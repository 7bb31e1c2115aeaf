"""Send a task a message and wait for the reply."""

from __future__ import annotations

import asyncio
from typing import TypeVar

from _masticspoke.errors import TaskCrashedError
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

M = TypeVar("M")
T = TypeVar("T")
D = TypeVar("D")

ANSWER_TIMEOUT_S = 2.0


async def ask(
    inbox: Mailbox[M], message: M, reply: Reply[T], timeout_s: float = ANSWER_TIMEOUT_S
) -> T | None:
    """Send a message that carries ``reply`` and return the answer.

    :param timeout_s: seconds to wait for the answer.
    :return: ``None`` when the mailbox is full, when the task crashed on the message,
        or when there was no answer in time.
    """
    if inbox.tell(message) is Delivery.FULL:
        return None
    try:
        async with asyncio.timeout(timeout_s):
            return await reply.value()
    except (TimeoutError, TaskCrashedError):
        return None


async def ask_or(inbox: Mailbox[M], message: M, reply: Reply[T], default: D) -> T | D:
    """Send a message that carries ``reply`` and wait for the answer without a timeout.

    :return: ``default`` when the mailbox is full or the task crashed on the message.
    """
    if inbox.tell(message) is Delivery.FULL:
        return default
    try:
        return await reply.value()
    except TaskCrashedError:
        return default
