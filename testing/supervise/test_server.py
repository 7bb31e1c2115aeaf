from __future__ import annotations

import asyncio
from dataclasses import dataclass

from _masticspoke.supervise.ask import ask_or
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor


@dataclass(frozen=True)
class Divide:
    by: int
    reply: Reply[float]


def _divide(state: list[int], message: Divide, now: float) -> None:
    message.reply.answer(12 / message.by)


HANDLERS: Handlers[list[int]] = {Divide: _divide}


def divider(inbox: Mailbox[Divide]) -> ChildBody:
    async def run(life: Lifecycle) -> None:
        await serve(inbox, [], HANDLERS, lambda: 0.0, life)

    return run


def test_a_crash_drops_the_question_in_hand_and_keeps_the_others() -> None:
    async def scenario() -> list[float | None]:
        inbox: Mailbox[Divide] = Mailbox(10)
        tree = supervisor("root", [ChildSpec("divider", divider(inbox))], lambda: 0.0)
        life = Lifecycle()

        async def ask(by: int) -> float | None:
            question = Divide(by, Reply())
            return await ask_or(inbox, question, question.reply, None)

        asked = [asyncio.create_task(ask(by)) for by in (3, 0, 4, 0, 6)]
        await asyncio.sleep(0)
        running = asyncio.ensure_future(tree(life))
        async with asyncio.timeout(10):
            answers = await asyncio.gather(*asked)
        life.request_stop()
        await running
        return answers

    assert asyncio.run(scenario()) == [4.0, None, 3.0, None, 2.0]


def test_a_full_mailbox_is_answered_for() -> None:
    async def scenario() -> float | None:
        inbox: Mailbox[Divide] = Mailbox(0)
        question = Divide(1, Reply())
        return await ask_or(inbox, question, question.reply, None)

    assert asyncio.run(scenario()) is None
