"""Tests of what the registry tells the gate after heartbeats."""

from __future__ import annotations

import asyncio

import pytest
from testing.decisions.fleet.samples import server
from testing.fleet.knowledge.test_registry import RunningRegistry

from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.fleet.guard.messages import LocalBackendState
from _masticspoke.fleet.knowledge.messages import AskLocalBackend
from _masticspoke.fleet.knowledge.messages import Heartbeat
from _masticspoke.fleet.knowledge.messages import LocalCandidate
from _masticspoke.fleet.knowledge.messages import LogHealth
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.supervise.mailbox import Reply


def told(running: RunningRegistry) -> list[LocalBackendState]:
    messages = running.gate.receive_nowait()
    return [m for m in messages if isinstance(m, LocalBackendState)]


def beat(
    running: RunningRegistry, state: BackendServer, reply: Reply[bool] | None = None
) -> None:
    running.inbox.tell(Heartbeat(state, reply or Reply()))


async def started(log_read: bool = True) -> RunningRegistry:
    running = RunningRegistry()
    await running.life.started()
    if log_read:
        running.inbox.tell(ServersReceived((), "log"))
    return running


# A heartbeat that a server had sent before it crashed made the gate admit requests to
# the address again.
@pytest.mark.parametrize(
    "late",
    [
        pytest.param(server(sequence=5), id="earlier-heartbeat"),
        pytest.param(server(born_ms=500, sequence=9), id="earlier-start"),
    ],
)
def test_late_heartbeat_tells_the_gate_nothing(late: BackendServer) -> None:
    async def scenario() -> None:
        running = await started()
        beat(running, server(sequence=7))
        assert [m.server.sequence for m in told(running)] == [7]
        beat(running, late)
        assert told(running) == []
        beat(running, server(sequence=8))
        assert [m.server.sequence for m in told(running)] == [8]
        running.task.cancel()

    asyncio.run(scenario())


def test_heartbeats_without_a_start_count_whatever_their_sequence() -> None:
    """Such a server can't be told from a new start under its id."""

    async def scenario() -> None:
        running = await started()
        beat(running, server(born_ms=0, sequence=50))
        beat(running, server(born_ms=0, sequence=1))
        assert len(told(running)) == 2
        running.task.cancel()

    asyncio.run(scenario())


# The gate stayed closed until the next heartbeat, as the late one hid that the server
# had announced itself.
def test_late_heartbeat_of_an_earlier_start_hides_no_announcement() -> None:
    async def scenario() -> None:
        running = await started(log_read=False)
        beat(running, server(sequence=1))
        beat(running, server(born_ms=500, sequence=9))
        assert told(running) == []
        running.inbox.tell(ServersReceived((), "log"))
        (state,) = told(running)
        assert state.server == server(sequence=1)
        assert state.has_just_started
        running.task.cancel()

    asyncio.run(scenario())


# DRAIN: after a restart, a server without a health check got requests for a heartbeat
# that may have been sent before it left, while the log was being read.
def test_heartbeat_alone_counts_only_while_the_log_can_not_be_read() -> None:
    async def scenario() -> None:
        running = await started(log_read=False)
        beat(running, server())
        assert not (await candidate(running)).announced
        running.inbox.tell(LogHealth("keyed.servers", "no answer"))
        assert (await candidate(running)).announced
        running.inbox.tell(LogHealth("keyed.servers", None))
        assert not (await candidate(running)).announced
        running.task.cancel()

    asyncio.run(scenario())


async def candidate(running: RunningRegistry) -> LocalCandidate:
    reply: Reply[LocalCandidate | None] = Reply()
    running.inbox.tell(AskLocalBackend(reply))
    found = await reply.value()
    assert found is not None
    return found
