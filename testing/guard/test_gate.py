from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from _masticspoke.guard.gate import gate
from _masticspoke.guard.gate import GateMessage
from _masticspoke.messages.control import BackendAnnounced
from _masticspoke.messages.control import BackendLeaving
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.guard import Admit
from _masticspoke.messages.guard import Admitted
from _masticspoke.messages.guard import AskLoadReport
from _masticspoke.messages.guard import Finished
from _masticspoke.messages.guard import NotAdmitted
from _masticspoke.messages.guard import Withdrawn
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.model import LoadReport
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

Answer = Admitted | NotAdmitted
SLOTS = 4  # gives an initial concurrency limit of 1


class GateHarness:
    """A running gate with its mailbox and a clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0
        self.inbox: Mailbox[GateMessage] = Mailbox(100)
        self.body = gate(self.inbox, lambda: self.now, 10, Random(1))
        self.task = self.start()

    def start(self) -> asyncio.Task[None]:
        async def run() -> None:
            await self.body(Lifecycle())

        return asyncio.create_task(run())

    async def run_gate(self) -> None:
        """Give the gate's task a few event loop iterations to handle its messages."""
        for _ in range(5):
            await asyncio.sleep(0)

    async def tell(self, message: GateMessage) -> None:
        self.inbox.tell(message)
        await self.run_gate()

    async def admit(self, deadline_s: float = 100.0) -> Reply[Answer]:
        call = Call("a" * 32, "k", "s", 1, self.now + deadline_s, True)
        reply: Reply[Answer] = Reply()
        await self.tell(Admit(call, 0, reply))
        return reply

    async def load_report(self) -> LoadReport:
        reply: Reply[LoadReport] = Reply()
        await self.tell(AskLoadReport(reply))
        return await reply.value()


def announcement(ttl_s: float = 3.0, incarnation: str = "1") -> BackendAnnounced:
    address = Address("127.0.0.1", 1)
    member = Member("s", address, address, "z", incarnation, SLOTS, 40)
    return BackendAnnounced(member, ttl_s)


def with_gate(test: Callable[[GateHarness], Awaitable[None]]) -> None:
    async def main() -> None:
        harness = GateHarness()
        try:
            await test(harness)
        finally:
            harness.task.cancel()
            await asyncio.gather(harness.task, return_exceptions=True)

    asyncio.run(main())


async def answer_to(reply: Reply[Answer]) -> Answer:
    return await asyncio.wait_for(reply.value(), 5)


async def refusal_reason(reply: Reply[Answer]) -> Reason:
    answer = await answer_to(reply)
    assert isinstance(answer, NotAdmitted)
    return answer.refusal.reason


def test_calls_are_refused_before_the_first_announcement() -> None:
    async def check(harness: GateHarness) -> None:
        assert await refusal_reason(await harness.admit()) is Reason.NO_BACKEND_SERVER

    with_gate(check)


def test_calls_are_refused_after_the_announcement_lapsed_until_renewal() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(announcement(ttl_s=3.0))
        harness.now = 3.0
        assert await refusal_reason(await harness.admit()) is Reason.NO_BACKEND_SERVER
        await harness.tell(announcement())
        assert isinstance(await answer_to(await harness.admit()), Admitted)

    with_gate(check)


def test_queued_calls_are_refused_when_the_announcement_lapses() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(announcement())
        await harness.admit()
        queued = await harness.admit()
        harness.now = 3.0
        await harness.load_report()
        assert await refusal_reason(queued) is Reason.NO_BACKEND_SERVER

    with_gate(check)


def test_leaving_server_refuses_new_calls_and_runs_queued_ones() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(announcement())
        running = await answer_to(await harness.admit())
        queued = await harness.admit()
        assert isinstance(running, Admitted)
        await harness.tell(BackendLeaving())
        assert await refusal_reason(await harness.admit()) is Reason.LEAVING
        assert (await harness.load_report()).leaving
        await harness.tell(Finished(running.ticket, 0.1, failed=False))
        assert isinstance(await answer_to(queued), Admitted)

    with_gate(check)


def test_late_renewal_does_not_undo_leaving() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(announcement(ttl_s=3.0))
        await harness.tell(BackendLeaving())
        await harness.tell(announcement(ttl_s=3.0))
        assert await refusal_reason(await harness.admit()) is Reason.LEAVING
        harness.now = 3.0
        await harness.tell(announcement(ttl_s=3.0))
        assert await refusal_reason(await harness.admit()) is Reason.LEAVING
        await harness.tell(announcement(incarnation="2"))
        assert isinstance(await answer_to(await harness.admit()), Admitted)

    with_gate(check)


def test_queued_call_does_not_run_after_its_caller_disconnects() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(announcement())
        running = await answer_to(await harness.admit())
        withdrawn, last = await harness.admit(), await harness.admit()
        assert isinstance(running, Admitted)
        await harness.tell(Withdrawn(withdrawn))
        await harness.tell(Finished(running.ticket, 0.1, failed=False))
        assert isinstance(await answer_to(last), Admitted)

    with_gate(check)


def test_slot_is_freed_when_the_caller_disconnects_during_admission() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(announcement())
        admitted = await harness.admit()
        queued = await harness.admit()
        await harness.tell(Withdrawn(admitted))
        assert isinstance(await answer_to(queued), Admitted)

    with_gate(check)


def test_slot_is_reclaimed_when_the_finished_message_is_lost() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(announcement(ttl_s=1_000.0))
        await answer_to(await harness.admit(deadline_s=1.0))
        harness.now = 10.0
        await harness.load_report()
        assert (await harness.load_report()).in_flight == 0

    with_gate(check)


def test_stopped_gate_refuses_queued_calls_and_reuses_no_ticket_after_restart() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(announcement())
        first = await answer_to(await harness.admit())
        queued = await harness.admit()
        harness.task.cancel()
        assert await refusal_reason(queued) is Reason.STOPPING
        harness.task = harness.start()
        await harness.tell(announcement())
        second = await answer_to(await harness.admit())
        assert isinstance(first, Admitted)
        assert isinstance(second, Admitted)
        assert second.ticket > first.ticket

    with_gate(check)


def test_load_report_has_the_catalogue_version_in_force() -> None:
    async def check(harness: GateHarness) -> None:
        await harness.tell(CatalogueChanged(Catalogue(version=7)))
        assert (await harness.load_report()).catalogue_version == 7

    with_gate(check)
