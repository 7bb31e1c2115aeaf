from __future__ import annotations

import asyncio

import pytest

from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply


def test_messages_arrive_in_order_and_in_one_batch() -> None:
    async def scenario() -> list[int]:
        inbox: Mailbox[int] = Mailbox(10)
        for number in range(3):
            inbox.tell(number)
        return await inbox.receive()

    assert asyncio.run(scenario()) == [0, 1, 2]


def test_a_full_mailbox_rejects_a_message_and_keeps_the_others() -> None:
    async def scenario() -> tuple[Delivery, list[int]]:
        inbox: Mailbox[int] = Mailbox(2)
        inbox.tell(1)
        inbox.tell(2)
        return inbox.tell(3), await inbox.receive()

    assert asyncio.run(scenario()) == (Delivery.FULL, [1, 2])


def test_receive_waits_for_a_later_message() -> None:
    async def scenario() -> list[str]:
        inbox: Mailbox[str] = Mailbox(2)
        receiving = asyncio.create_task(inbox.receive())
        await asyncio.sleep(0)
        inbox.tell("late")
        return await receiving

    assert asyncio.run(scenario()) == ["late"]


def test_receive_returns_nothing_at_its_timeout() -> None:
    async def scenario() -> list[int]:
        return await Mailbox[int](1).receive(timeout_s=0.0)

    assert asyncio.run(scenario()) == []


def test_a_cancelled_receive_loses_no_message() -> None:
    async def scenario() -> list[int]:
        inbox: Mailbox[int] = Mailbox(2)
        receiving = asyncio.create_task(inbox.receive())
        await asyncio.sleep(0)
        inbox.tell(1)
        receiving.cancel()
        with pytest.raises(asyncio.CancelledError):
            await receiving
        return await inbox.receive()

    assert asyncio.run(scenario()) == [1]


def test_only_the_first_answer_of_a_reply_counts() -> None:
    async def scenario() -> str:
        reply: Reply[str] = Reply()
        reply.answer("first")
        reply.answer("second")
        return await reply.value()

    assert asyncio.run(scenario()) == "first"


def test_a_reply_is_abandoned_once_its_sender_is_cancelled() -> None:
    async def scenario() -> bool:
        reply: Reply[str] = Reply()
        waiting = asyncio.create_task(reply.value())
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        reply.answer("too late")
        return reply.abandoned

    assert asyncio.run(scenario())
