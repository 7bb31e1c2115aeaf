from __future__ import annotations

from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.leaving import is_binding
from _masticspoke.decisions.fleet.leaving import Leave
from _masticspoke.decisions.fleet.leaving import state_after
from _masticspoke.decisions.fleet.members import Members
from _masticspoke.decisions.fleet.members import merge
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase

ADDRESS = server().address


def record(members: Members, leave: Leave) -> bool:
    """Merge a leave as the registry does; return whether it may be acknowledged."""
    known = members.by_address.get(ADDRESS)
    merge(members, [state_after(leave, known, ADDRESS)])
    return is_binding(leave, members.by_address.get(ADDRESS))


def known_after(*heartbeats: BackendServer) -> Members:
    members = Members()
    merge(members, heartbeats)
    return members


def test_leave_is_recorded_with_its_sequence() -> None:
    members = known_after(server(sequence=3))
    assert record(members, Leave("i-1", server().born_ms, 7, Phase.GONE))
    assert members.by_address[ADDRESS] == server(sequence=7, phase=Phase.GONE)


# DRAIN: the leave of an instance that nothing was known of was recorded nowhere.
@pytest.mark.parametrize("instance", ["i-1", "i-2"])
def test_leave_of_a_later_start_keeps_its_earlier_heartbeats_out(instance: str) -> None:
    members = known_after(server(sequence=50))
    born_ms = server().born_ms + 1
    assert record(members, Leave(instance, born_ms, 2, Phase.GONE))
    late = server(instance=instance, born_ms=born_ms, sequence=1)
    assert merge(members, [late]) == []


@pytest.mark.parametrize("instance", ["i-1", "i-2"])
def test_leave_of_an_earlier_start_changes_nothing(instance: str) -> None:
    members = known_after(server(sequence=1))
    leave = Leave(instance, server().born_ms - 1, 9, Phase.GONE)
    assert record(members, leave)
    assert members.by_address[ADDRESS] == server(sequence=1)


def test_leave_in_an_answer_undoes_no_deregistration() -> None:
    members = known_after(server(sequence=3, phase=Phase.GONE))
    record(members, Leave("i-1", server().born_ms, 2, Phase.LEAVING))
    assert members.by_address[ADDRESS].phase is Phase.GONE


@pytest.mark.parametrize(("born_ms", "sequence"), [(None, 9), (server().born_ms, 0)])
def test_leave_that_can_not_be_ordered_is_not_acknowledged(
    born_ms: int | None, sequence: int
) -> None:
    members = known_after(server(sequence=3))
    assert not record(members, Leave("i-2", born_ms, sequence, Phase.GONE))
    assert members.by_address[ADDRESS] == server(sequence=3)


_INSTANCES = st.sampled_from(["i-1", "i-2"])
_BORN = st.integers(1, 2)
_HEARTBEATS = st.builds(
    lambda instance, born_ms, sequence: server(
        instance=instance, born_ms=born_ms, sequence=sequence
    ),
    _INSTANCES,
    _BORN,
    st.integers(1, 3),
)
_LEAVES = st.builds(
    lambda instance, born_ms: Leave(instance, born_ms, 4, Phase.GONE),
    _INSTANCES,
    _BORN,
)


# DRAIN: whatever was known, an acknowledged leave outlasts the heartbeats before it.
@given(st.lists(_HEARTBEATS, max_size=3), _LEAVES, st.lists(_HEARTBEATS, max_size=3))
def test_acknowledged_leave_outlasts_late_heartbeats(
    before: list[BackendServer], leave: Leave, late: list[BackendServer]
) -> None:
    for order in permutations(late):
        members = known_after(*before)
        acknowledged = record(members, leave)
        merge(members, order)
        known = members.by_address[ADDRESS]
        is_leaving = (known.instance, known.born_ms) == (leave.instance, leave.born_ms)
        assert not (acknowledged and is_leaving and known.phase is Phase.READY)
