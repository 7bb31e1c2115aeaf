"""Ask a task a question and wait a bounded time for its answer."""

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
    inbox: Mailbox[M], question: M, reply: Reply[T], timeout_s: float = ANSWER_TIMEOUT_S
) -> T | None:
    """Return the answer to a question that carries ``reply``.

    :return: ``None`` when the mailbox is full or the task gave no answer in time,
        for example because it crashed on the way.
    """
    if inbox.tell(question) is Delivery.FULL:
        return None
    try:
        async with asyncio.timeout(timeout_s):
            return await reply.value()
    except (TimeoutError, TaskCrashedError):
        return None


async def ask_or(
    inbox: Mailbox[M], question: M, reply: Reply[T], otherwise: D
) -> T | D:
    """Return the answer to a question that carries ``reply``, however long it takes.

    :return: ``otherwise`` when the mailbox is full or the task crashed with the
        question in hand.
    """
    if inbox.tell(question) is Delivery.FULL:
        return otherwise
    try:
        return await reply.value()
    except TaskCrashedError:
        return otherwise
