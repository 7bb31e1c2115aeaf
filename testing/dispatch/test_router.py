from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from random import Random

from testing.decisions.test_front_end import CATALOGUE
from testing.decisions.test_front_end import member

from _masticspoke.dispatch.router import router
from _masticspoke.dispatch.router import RouterMessage
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.control import MembersChanged
from _masticspoke.messages.dispatch import AttemptEnded
from _masticspoke.messages.dispatch import AttemptFailed
from _masticspoke.messages.dispatch import BeginCall
from _masticspoke.messages.dispatch import CallEnded
from _masticspoke.messages.dispatch import Target
from _masticspoke.model import Address
from _masticspoke.model import LoadReport
from _masticspoke.model import Ran
from _masticspoke.model import RequestShape
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

SHAPE = RequestShape("GET", "/read/1")
QUEUE_FULL = Refusal(Reason.QUEUE_FULL)
Scenario = Callable[[Mailbox[RouterMessage]], Awaitable[None]]


def run_router(scenario: Scenario, members: int = 3, now: float = 0.0) -> None:
    async def main() -> None:
        inbox: Mailbox[RouterMessage] = Mailbox(100)
        inbox.tell(CatalogueChanged(CATALOGUE))
        inbox.tell(MembersChanged(tuple(member(n) for n in range(1, members + 1))))
        body = router(inbox, lambda: now, Address("10.0.0.9", 9), "z", Random(5))
        task = asyncio.ensure_future(body(Lifecycle()))
        try:
            await scenario(inbox)
        finally:
            task.cancel()

    asyncio.run(main())


async def begin(
    inbox: Mailbox[RouterMessage], shape: RequestShape = SHAPE
) -> Target | Refusal:
    message = BeginCall(shape, None, Reply())
    inbox.tell(message)
    return await message.reply.value()


async def fail(
    inbox: Mailbox[RouterMessage], target: Target, refusal: Refusal = QUEUE_FULL
) -> Target | Refusal:
    returned = target.call.allowance
    message = AttemptFailed(
        target, refusal, None, returned, 0.0, resendable=True, reply=Reply()
    )
    inbox.tell(message)
    return await message.reply.value()


def test_every_node_is_tried_before_any_is_retried_after_a_pause() -> None:
    async def scenario(inbox: Mailbox[RouterMessage]) -> None:
        target = await begin(inbox)
        nodes = []
        while isinstance(target, Target) and len(nodes) < 10:
            nodes.append(target.member.node)
            waited = target.wait_s
            target = await fail(inbox, target)
        assert len(nodes) == 4
        assert len(set(nodes[:3])) == 3
        assert waited > 0
        assert isinstance(target, Refusal)
        assert target.retry_after_s >= 1

    run_router(scenario)


def test_refusal_of_a_request_that_cannot_be_resent_keeps_ran_unknown() -> None:
    async def scenario(inbox: Mailbox[RouterMessage]) -> None:
        target = await begin(inbox)
        assert isinstance(target, Target)
        lost = Refusal(Reason.NODE_FAILED, Ran.UNKNOWN)
        target = await fail(inbox, target, lost)
        assert isinstance(target, Target)
        message = AttemptFailed(target, QUEUE_FULL, None, 0, 0.0, False, Reply())
        inbox.tell(message)
        answer = await message.reply.value()
        assert isinstance(answer, Refusal)
        assert answer.ran is Ran.UNKNOWN

    run_router(scenario)


def test_load_report_of_an_answer_affects_the_next_choice() -> None:
    async def scenario(inbox: Mailbox[RouterMessage]) -> None:
        leaving = await begin(inbox)
        assert isinstance(leaving, Target)
        report = LoadReport(leaving=True)
        inbox.tell(AttemptEnded(leaving, report, 0.0, 0.01))
        for _ in range(20):
            target = await begin(inbox)
            assert isinstance(target, Target)
            assert target.member != leaving.member

    run_router(scenario, members=2)


def test_resends_of_a_key_use_up_its_retries() -> None:
    async def scenario(inbox: Mailbox[RouterMessage]) -> None:
        shape = replace(SHAPE, key="x")
        target = await begin(inbox, shape)
        assert isinstance(target, Target)
        inbox.tell(CallEnded(target.call, 1, refused=True))
        again = await begin(inbox, shape)
        assert isinstance(again, Target)
        assert again.call.allowance + again.attempt.progress.reserved_retries == 0
        inbox.tell(CallEnded(again.call, 0, refused=True))
        spent = await begin(inbox, shape)
        assert isinstance(spent, Refusal)
        assert spent.reason is Reason.RETRIES_SPENT

    run_router(scenario)
