"""Tests of states of backend servers that another writer states."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace

import pytest
from testing.decisions.fleet.samples import route
from testing.decisions.fleet.samples import server
from testing.fleet.knowledge.test_registry import RunningRegistry
from testing.fleet.knowledge.test_registry_heartbeats import beat
from testing.fleet.knowledge.test_registry_heartbeats import started
from testing.fleet.knowledge.test_registry_heartbeats import told

from _masticspoke.decisions.fleet.leaving import Leave
from _masticspoke.decisions.fleet.members import is_newer
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.model import Phase
from _masticspoke.decisions.fleet.model import Share
from _masticspoke.events import Event
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.messages import Deregistered
from _masticspoke.fleet.knowledge.messages import LogHealth
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.fleet.knowledge.messages import Unsaved
from _masticspoke.supervise.mailbox import Reply

BEAT_S = 1.5
FOREIGN = server(instance="i-foreign", born_ms=9_000, slots=1)
UNNAMED = replace(FOREIGN, service="nobody")


def configure(running: RunningRegistry, version: int, *services: str) -> None:
    shares = tuple(Share(name, 1.0) for name in services)
    configuration = Configuration(version, {("h", "/"): route(shares=shares)})
    running.inbox.tell(LogHealth("keyed.op", None))
    running.inbox.tell(ConfigurationReceived(configuration, b"c", "log"))


def state_of(running: RunningRegistry, number: int = 1) -> BackendServer | None:
    return running.state.members.by_address.get(server(number).address)


def beat_on(running: RunningRegistry, *sequences: int, **changes: object) -> None:
    """Send heartbeats of the local backend server at its usual pace."""
    for sequence in sequences:
        running.now += BEAT_S
        beat(running, server(sequence=sequence, **changes))


def run(scenario: Callable[[RunningRegistry], Awaitable[None]]) -> None:
    async def main() -> None:
        running = await started()
        configure(running, 1, "desk")
        await scenario(running)
        running.task.cancel()

    asyncio.run(main())


# Starved: one heartbeat of another writer took a sound server out for good.
def test_heartbeat_of_an_unnamed_service_replaces_no_server() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        reply: Reply[bool] = Reply()
        beat(running, UNNAMED, reply)
        assert state_of(running) == server(sequence=2)
        assert await reply.value()
        (refused,) = running.events(Event.STATE_REFUSED)
        assert refused["reason"] == "unnamed-service"

    run(scenario)


# The same with a service that is named, and with a start in the future.
@pytest.mark.parametrize("born_ms", [9_000, 10**12])
@pytest.mark.parametrize("phase", Phase)
def test_server_that_goes_on_to_send_heartbeats_is_in_force_again(
    born_ms: int, phase: Phase
) -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        foreign = replace(FOREIGN, born_ms=born_ms, phase=phase)
        beat(running, foreign)
        beat_on(running, 3, 4, 5)
        known = state_of(running)
        assert known is not None
        assert (known.instance, known.phase) == ("i-1", Phase.READY)
        assert is_newer(known, foreign)
        assert told(running)[-1].server == known
        beat_on(running, 6)
        assert told(running)[-1].server.sequence == 6
        assert len(running.events(Event.STATE_RESTATED)) == 1

    run(scenario)


def test_deregistration_of_an_unknown_instance_takes_no_server_out_for_good() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        leave = Leave("i-foreign", 9_000, 1, Phase.GONE)
        running.inbox.tell(Deregistered(leave, Reply()))
        beat_on(running, 3, 4, 5)
        known = state_of(running)
        assert known is not None
        assert (known.instance, known.phase) == ("i-1", Phase.READY)

    run(scenario)


# Its heartbeats were taken for late ones until its sequence had caught up.
def test_sequence_from_the_future_does_not_freeze_the_state_of_a_server() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        beat(running, server(sequence=10**9, slots=1))
        beat_on(running, 3, 4, 5)
        known = state_of(running)
        assert known is not None
        assert known.slots == server().slots

    run(scenario)


# After a false start in the future, a true restart was taken for an earlier one.
def test_new_start_after_a_restated_one_is_in_force() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        beat(running, replace(FOREIGN, born_ms=10**12))
        beat_on(running, 3, 4, 5)
        beat_on(running, 1, 2, 3, instance="i-2", born_ms=50_000)
        known = state_of(running)
        assert known is not None
        assert known.instance == "i-2"

    run(scenario)


# Each one cost the server three of its heartbeats.
def test_repeated_false_heartbeats_and_leaves_take_a_server_out_once() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        beat(running, FOREIGN)
        beat_on(running, 3, 4, 5)
        for sequence in range(6, 20):
            false = replace(FOREIGN, born_ms=10**6 * sequence)
            beat(running, false)
            leave = Leave("i-other", false.born_ms, 1, Phase.GONE)
            running.inbox.tell(Deregistered(leave, Reply()))
            known = state_of(running)
            assert known is not None
            assert known.instance == "i-1"
            beat_on(running, sequence)
        told_sequences = [m.server.sequence for m in told(running)]
        assert told_sequences[-14:] == list(range(6, 20))

    run(scenario)


def test_restart_after_a_restated_start_is_in_force_with_its_second_heartbeat() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        beat(running, FOREIGN)
        beat_on(running, 3, 4, 5)
        beat_on(running, 1, 2, instance="i-2", born_ms=50_000)
        known = state_of(running)
        assert known is not None
        assert (known.instance, known.sequence) == ("i-2", 2)

    run(scenario)


# DRAIN: the leave named a start that was not the restated one.
@pytest.mark.parametrize("by_heartbeat", [False, True])
def test_leave_of_a_restated_server_takes_it_out(by_heartbeat: bool) -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        beat(running, FOREIGN)
        beat_on(running, 3, 4, 5)
        if by_heartbeat:
            beat_on(running, 6, phase=Phase.LEAVING)
        else:
            leave = Leave("i-1", server().born_ms, 6, Phase.LEAVING)
            running.inbox.tell(Deregistered(leave, Reply()))
        known = state_of(running)
        assert known is not None
        assert (known.instance, known.phase) == ("i-1", Phase.LEAVING)

    run(scenario)


# DRAIN: heartbeats that were sent before the leave arrive behind it.
def test_late_heartbeats_do_not_undo_the_leave_of_their_own_start() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1)
        beat_on(running, 9, phase=Phase.LEAVING)
        beat_on(running, 2, 3, 4, 5, 6)
        known = state_of(running)
        assert known is not None
        assert known.phase is Phase.LEAVING

    run(scenario)


# DRAIN: the same, where the server had started again under its id.
def test_late_heartbeats_of_an_earlier_start_do_not_undo_a_leave() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, born_ms=5_000)
        beat_on(running, 2, born_ms=5_000, phase=Phase.LEAVING)
        beat_on(running, 2, 3, 4, 5, 6, born_ms=1_000)
        known = state_of(running)
        assert known is not None
        assert known.phase is Phase.LEAVING

    run(scenario)


# A peer that lags behind states the start before.
def test_earlier_start_that_a_peer_states_is_no_conflict() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2, born_ms=5_000)
        earlier = server(instance="i-0", born_ms=500)
        running.inbox.tell(ServersReceived((earlier,), "peer 10.0.0.2"))
        assert not running.events(Event.STATE_REFUSED)
        assert running.unsaved.receive_nowait()[-1].entry == server(
            sequence=1, born_ms=5_000
        )

    run(scenario)


@pytest.mark.parametrize("gap_s", [0.0, 0.2])
def test_heartbeats_that_were_held_up_together_do_not_count_as_three(
    gap_s: float,
) -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1)
        beat(running, FOREIGN)
        for sequence in (2, 3, 4):
            running.now += gap_s
            beat(running, server(sequence=sequence))
        assert state_of(running) == FOREIGN

    run(scenario)


def test_heartbeats_of_the_instance_in_force_show_that_the_other_is_gone() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1)
        later = replace(server(), instance="i-2", born_ms=5_000)
        for sequence in range(1, 8):
            beat(running, replace(later, sequence=sequence))
            beat_on(running, sequence + 1)
        known = state_of(running)
        assert known is not None
        assert known.instance == "i-2"

    run(scenario)


# Starved: no other node used the server, as none of them got to know better.
@pytest.mark.parametrize("source", ["log", "peer 10.0.0.2", "relay 10.0.0.2"])
@pytest.mark.parametrize("stated", [FOREIGN, UNNAMED], ids=["named", "unnamed"])
def test_state_that_another_writer_states_is_replaced_everywhere(
    source: str, stated: BackendServer
) -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        running.unsaved.receive_nowait()
        running.inbox.tell(ServersReceived((stated,), source))
        known = state_of(running)
        assert known is not None
        assert known.instance == "i-1"
        assert is_newer(known, stated)
        assert [m.entry for m in unsaved(running)] == [known]
        assert running.events(Event.STATE_REFUSED)
        beat_on(running, 3)
        assert told(running)[-1].server.sequence == 3

    run(scenario)


# The start of the server was given to the false instance that was known meanwhile.
def test_second_false_state_is_not_answered_with_the_first_one() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        leave = Leave("i-foreign", 9_000, 1, Phase.GONE)
        running.inbox.tell(Deregistered(leave, Reply()))
        later = server(instance="i-third", born_ms=20_000)
        running.inbox.tell(ServersReceived((later,), "log"))
        assert not running.events(Event.STATE_RESTATED)
        beat_on(running, 3, 4, 5)
        known = state_of(running)
        assert known is not None
        assert (known.instance, known.phase) == ("i-1", Phase.READY)

    run(scenario)


# A node that starts reads only the newest entry of each server.
def test_false_entry_with_an_early_start_is_replaced_in_the_log() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        running.unsaved.receive_nowait()
        early = replace(FOREIGN, born_ms=0)
        for _ in range(3):
            running.inbox.tell(ServersReceived((early,), "log"))
        assert [m.entry for m in unsaved(running)] == [server(sequence=2)]

    run(scenario)


# The log may hold a later start of which a silent server's node has not heard.
def test_state_of_a_server_that_sends_no_heartbeats_is_not_restated() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        running.now += 60.0
        running.inbox.tell(ServersReceived((FOREIGN,), "log"))
        assert not running.events(Event.STATE_RESTATED)

    run(scenario)


@pytest.mark.parametrize("source", ["log", "peer 10.0.0.3"])
def test_unnamed_service_replaces_no_server_of_another_node(source: str) -> None:
    async def scenario(running: RunningRegistry) -> None:
        running.inbox.tell(ServersReceived((server(2),), source))
        unnamed = server(2, service="later", instance="i-9", born_ms=9_000)
        for _ in range(3):
            running.inbox.tell(ServersReceived((unnamed,), source))
        assert state_of(running, 2) == server(2)
        assert len(running.events(Event.STATE_REFUSED)) == 1
        configure(running, 2, "desk", "later")
        assert state_of(running, 2) == unnamed

    run(scenario)


def test_server_without_a_service_replaces_none_unless_it_has_left() -> None:
    async def scenario(running: RunningRegistry) -> None:
        nameless = server(2, service="", instance="i-9", born_ms=9_000)
        running.inbox.tell(ServersReceived((server(2), nameless), "log"))
        assert state_of(running, 2) == server(2)
        left = replace(nameless, phase=Phase.GONE)
        running.inbox.tell(ServersReceived((left,), "log"))
        assert state_of(running, 2) == left

    run(scenario)


def test_server_is_used_that_was_replaced_before_a_configuration_was_known() -> None:
    async def main() -> None:
        running = await started()
        unnamed = server(2, service="nobody", instance="i-9", born_ms=9_000)
        running.inbox.tell(ServersReceived((unnamed,), "log"))
        configure(running, 1, "desk")
        running.inbox.tell(ServersReceived((server(2),), "peer 10.0.0.2"))
        assert state_of(running, 2) == server(2)
        running.task.cancel()

    asyncio.run(main())


def test_server_of_a_service_without_routes_is_known_as_a_peer() -> None:
    async def scenario(running: RunningRegistry) -> None:
        running.inbox.tell(ServersReceived((server(2, service="batch"),), "log"))
        assert state_of(running, 2) is not None

    run(scenario)


def test_server_of_the_service_that_the_settings_name_is_known() -> None:
    async def scenario(running: RunningRegistry) -> None:
        beat_on(running, 1, 2)
        running.local_service.tell("later")
        later = server(instance="i-2", born_ms=5_000, service="later")
        beat(running, later)
        assert state_of(running) == later

    run(scenario)


# DRAIN: the leave was acknowledged, and the server went on to get requests.
def test_leave_of_a_start_that_a_restarted_node_does_not_know_is_not_acknowledged() -> (
    None
):
    async def main() -> None:
        running = await started()
        configure(running, 1, "desk")
        running.inbox.tell(ServersReceived((server(born_ms=9_001),), "log"))
        reply: Reply[bool] = Reply()
        beat(running, server(sequence=7, phase=Phase.LEAVING), reply)
        assert not await reply.value()
        beat_on(running, 8, 9, phase=Phase.LEAVING)
        known = state_of(running)
        assert known is not None
        assert known.phase is Phase.LEAVING
        running.task.cancel()

    asyncio.run(main())


def unsaved(running: RunningRegistry) -> list[Unsaved]:
    messages = running.unsaved.receive_nowait()
    return [m for m in messages if m.entry is not None]
