from __future__ import annotations

import asyncio

import pytest

from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply


def test_messages_arrive_in_order_and_in_one_batch() -> None:
    async def scenario() -> list[int]:
        box: Mailbox[int] = Mailbox(10)
        for number in range(3):
            box.tell(number)
        return await box.receive()

    assert asyncio.run(scenario()) == [0, 1, 2]


def test_a_full_mailbox_says_so_and_keeps_what_it_has() -> None:
    async def scenario() -> tuple[Delivery, list[int]]:
        box: Mailbox[int] = Mailbox(2)
        box.tell(1)
        box.tell(2)
        return box.tell(3), await box.receive()

    assert asyncio.run(scenario()) == (Delivery.FULL, [1, 2])


def test_receive_wakes_for_a_message_that_comes_later() -> None:
    async def scenario() -> list[str]:
        box: Mailbox[str] = Mailbox(2)
        receiving = asyncio.create_task(box.receive())
        await asyncio.sleep(0)
        box.tell("late")
        return await receiving

    assert asyncio.run(scenario()) == ["late"]


def test_receive_returns_nothing_at_its_timeout() -> None:
    async def scenario() -> list[int]:
        return await Mailbox[int](1).receive(timeout_s=0.0)

    assert asyncio.run(scenario()) == []


def test_a_cancelled_receive_loses_no_message() -> None:
    async def scenario() -> list[int]:
        box: Mailbox[int] = Mailbox(2)
        receiving = asyncio.create_task(box.receive())
        await asyncio.sleep(0)
        box.tell(1)
        receiving.cancel()
        with pytest.raises(asyncio.CancelledError):
            await receiving
        return await box.receive()

    assert asyncio.run(scenario()) == [1]


def test_only_the_first_answer_of_a_reply_counts() -> None:
    async def scenario() -> str:
        reply: Reply[str] = Reply()
        reply.answer("first")
        reply.answer("second")
        return await reply.value()

    assert asyncio.run(scenario()) == "first"


def test_a_reply_knows_that_its_question_was_abandoned() -> None:
    async def scenario() -> bool:
        reply: Reply[str] = Reply()
        asking = asyncio.create_task(reply.value())
        await asyncio.sleep(0)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        reply.answer("too late")
        return reply.abandoned

    assert asyncio.run(scenario())
