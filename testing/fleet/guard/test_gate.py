"""Tests of the gate's task, through its mailbox."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from testing.decisions.fleet.samples import job
from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.model import BackendNotice
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.decisions.fleet.queueing import Refuse
from _masticspoke.decisions.fleet.queueing import Start
from _masticspoke.decisions.fleet.queueing import Verdict
from _masticspoke.fleet.guard.gate import gate
from _masticspoke.fleet.guard.gate import GateMessage
from _masticspoke.fleet.guard.gate import GateState
from _masticspoke.fleet.guard.messages import Admit
from _masticspoke.fleet.guard.messages import BackendAnswered
from _masticspoke.fleet.guard.messages import BackendUnreachable
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.guard.messages import LocalBackendState
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply

EARLIER = [
    pytest.param(server(born_ms=500), id="same-id"),
    pytest.param(server(born_ms=500, instance="i-0"), id="another-id"),
]


class RunningGate:
    def __init__(self) -> None:
        self.now = 1.0
        self.published = Latest(GuardState())
        self.inbox: Mailbox[GateMessage] = Mailbox(100)
        state = GateState(self.published, Mailbox(100))
        self.life = Lifecycle()
        body = gate(self.inbox, state, lambda: self.now)
        self.task = asyncio.create_task(body(self.life))  # type: ignore[arg-type]

    async def admit(self, ticket: int) -> Verdict:
        reply: Reply[Verdict] = Reply()
        self.inbox.tell(Admit(ticket, job(ticket), reply))
        verdict = await reply.value()
        assert verdict is not None
        return verdict


def run_scenario(scenario: Callable[[RunningGate], Awaitable[None]]) -> None:
    async def run() -> None:
        running = RunningGate()
        await running.life.started()
        running.inbox.tell(LocalBackendState(server(), has_just_started=True))
        await scenario(running)
        running.task.cancel()

    asyncio.run(run())


# The gate refused requests to a server that had just started again under its old id.
@pytest.mark.parametrize("earlier", EARLIER)
def test_connection_refused_by_an_earlier_start_closes_no_gate(
    earlier: BackendServer,
) -> None:
    async def scenario(running: RunningGate) -> None:
        running.inbox.tell(BackendUnreachable(earlier))
        assert isinstance(await running.admit(1), Start)
        running.inbox.tell(BackendUnreachable(server(sequence=9)))
        refused = await running.admit(2)
        assert isinstance(refused, Refuse)
        assert refused.reason is NotRun.ABSENT

    run_scenario(scenario)


# LIMIT: a late answer of an earlier start set or ended the limit of the one that runs.
@pytest.mark.parametrize("earlier", EARLIER)
def test_answer_of_an_earlier_start_changes_no_limit(earlier: BackendServer) -> None:
    async def scenario(running: RunningGate) -> None:
        late = BackendAnswered(earlier, BackendNotice(rate_limit=3.0), running.now)
        running.inbox.tell(late)
        assert running.published.value.rate_limit is None
        named = BackendAnswered(server(), BackendNotice(rate_limit=5.0), running.now)
        running.inbox.tell(named)
        assert running.published.value.rate_limit == 5.0

    run_scenario(scenario)
