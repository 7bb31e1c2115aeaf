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
SLOTS = 4  # the limit after a cold start is 1


class Bench:
    """A gate's task, its mailbox and a clock that the test moves."""

    def __init__(self) -> None:
        self.now = 0.0
        self.inbox: Mailbox[GateMessage] = Mailbox(100)
        self.body = gate(self.inbox, lambda: self.now, 10, Random(1))
        self.task = self.start()

    def start(self) -> asyncio.Task[None]:
        async def run() -> None:
            await self.body(Lifecycle())

        return asyncio.create_task(run())

    async def settle(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    async def tell(self, message: GateMessage) -> None:
        self.inbox.tell(message)
        await self.settle()

    async def admit(self, deadline: float = 100.0) -> Reply[Answer]:
        call = Call("a" * 32, "k", "s", 1, self.now + deadline, True)
        reply: Reply[Answer] = Reply()
        await self.tell(Admit(call, 0, reply))
        return reply

    async def report(self) -> LoadReport:
        reply: Reply[LoadReport] = Reply()
        await self.tell(AskLoadReport(reply))
        return await reply.value()


def announced(ttl_s: float = 3.0, incarnation: str = "1") -> BackendAnnounced:
    address = Address("127.0.0.1", 1)
    member = Member("s", address, address, "z", incarnation, SLOTS, 40)
    return BackendAnnounced(member, ttl_s)


def with_gate(test: Callable[[Bench], Awaitable[None]]) -> None:
    async def main() -> None:
        bench = Bench()
        try:
            await test(bench)
        finally:
            bench.task.cancel()
            await asyncio.gather(bench.task, return_exceptions=True)

    asyncio.run(main())


async def value(reply: Reply[Answer]) -> Answer:
    return await asyncio.wait_for(reply.value(), 5)


async def refused(reply: Reply[Answer]) -> Reason:
    answer = await value(reply)
    assert isinstance(answer, NotAdmitted)
    return answer.refusal.reason


def test_no_work_before_the_backend_server_announced_itself() -> None:
    async def check(bench: Bench) -> None:
        assert await refused(await bench.admit()) is Reason.NO_BACKEND_SERVER

    with_gate(check)


def test_no_work_after_the_announcement_lapsed_until_it_is_renewed() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(announced(ttl_s=3.0))
        bench.now = 3.0
        assert await refused(await bench.admit()) is Reason.NO_BACKEND_SERVER
        await bench.tell(announced())
        assert isinstance(await value(await bench.admit()), Admitted)

    with_gate(check)


def test_queued_calls_are_refused_when_the_announcement_lapses() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(announced())
        await bench.admit()
        queued = await bench.admit()
        bench.now = 3.0
        await bench.report()
        assert await refused(queued) is Reason.NO_BACKEND_SERVER

    with_gate(check)


def test_leaving_refuses_new_work_and_finishes_what_was_accepted() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(announced())
        running = await value(await bench.admit())
        queued = await bench.admit()
        assert isinstance(running, Admitted)
        await bench.tell(BackendLeaving())
        assert await refused(await bench.admit()) is Reason.LEAVING
        assert (await bench.report()).leaving
        await bench.tell(Finished(running.ticket, 0.1, crashed=False))
        assert isinstance(await value(queued), Admitted)

    with_gate(check)


def test_late_renewal_does_not_undo_leaving() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(announced(ttl_s=3.0))
        await bench.tell(BackendLeaving())
        await bench.tell(announced(ttl_s=3.0))
        assert await refused(await bench.admit()) is Reason.LEAVING
        bench.now = 3.0
        await bench.tell(announced(ttl_s=3.0))
        assert await refused(await bench.admit()) is Reason.LEAVING
        await bench.tell(announced(incarnation="2"))
        assert isinstance(await value(await bench.admit()), Admitted)

    with_gate(check)


def test_caller_that_went_away_while_queued_never_runs() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(announced())
        running = await value(await bench.admit())
        gone, last = await bench.admit(), await bench.admit()
        assert isinstance(running, Admitted)
        await bench.tell(Withdrawn(gone))
        await bench.tell(Finished(running.ticket, 0.1, crashed=False))
        assert isinstance(await value(last), Admitted)

    with_gate(check)


def test_caller_that_went_away_as_it_was_admitted_gives_its_slot_back() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(announced())
        admitted = await bench.admit()
        queued = await bench.admit()
        await bench.tell(Withdrawn(admitted))
        assert isinstance(await value(queued), Admitted)

    with_gate(check)


def test_slot_of_a_run_whose_end_was_lost_comes_back() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(announced(ttl_s=1_000.0))
        await value(await bench.admit(deadline=1.0))
        bench.now = 10.0
        await bench.report()
        assert (await bench.report()).in_flight == 0

    with_gate(check)


def test_stop_refuses_what_is_queued_and_tickets_stay_unique_after_it() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(announced())
        first = await value(await bench.admit())
        queued = await bench.admit()
        bench.task.cancel()
        assert await refused(queued) is Reason.STOPPING
        bench.task = bench.start()
        await bench.tell(announced())
        second = await value(await bench.admit())
        assert isinstance(first, Admitted)
        assert isinstance(second, Admitted)
        assert second.ticket > first.ticket

    with_gate(check)


def test_catalogue_version_is_reported() -> None:
    async def check(bench: Bench) -> None:
        await bench.tell(CatalogueChanged(Catalogue(version=7)))
        assert (await bench.report()).catalogue_version == 7

    with_gate(check)
