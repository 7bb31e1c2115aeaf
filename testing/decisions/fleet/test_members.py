from __future__ import annotations

from itertools import permutations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from testing.decisions.fleet.samples import server

from _masticspoke.decisions.fleet.members import digest
from _masticspoke.decisions.fleet.members import is_current
from _masticspoke.decisions.fleet.members import Members
from _masticspoke.decisions.fleet.members import merge
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import Phase

STATES = st.builds(
    lambda number, born, sequence, phase: server(
        number,
        born_ms=born,
        instance=f"i-{number}-{born}",
        sequence=sequence,
        phase=phase,
    ),
    st.integers(1, 2),
    st.integers(1, 3),
    st.integers(1, 3),
    st.sampled_from(Phase),
)


def ready_servers(members: Members, service: str) -> tuple[BackendServer, ...]:
    """Return the backend servers of a service that accept new requests."""
    return tuple(
        server
        for server in members.by_address.values()
        if server.service == service and server.phase is Phase.READY
    )


@given(st.lists(STATES, max_size=5))
def test_merge_does_not_depend_on_the_order_of_updates(
    states: list[BackendServer],
) -> None:
    results = set()
    for order in permutations(states):
        members = Members()
        merge(members, order)
        results.add(digest(members))

    assert len(results) == 1


def test_later_incarnation_replaces_a_leaving_one() -> None:
    members = Members()
    merge(members, [server(phase=Phase.LEAVING)])
    merge(members, [server(born_ms=2_000, instance="i-new")])

    assert [s.instance for s in ready_servers(members, "desk")] == ["i-new"]


def test_late_heartbeat_of_the_previous_incarnation_is_ignored() -> None:
    members = Members()
    merge(members, [server(born_ms=2_000, instance="i-new")])

    assert merge(members, [server(born_ms=1_000, sequence=99)]) == []
    assert members.by_address[server().address].instance == "i-new"


def test_late_heartbeat_does_not_undo_leaving() -> None:
    members = Members()
    merge(members, [server(phase=Phase.LEAVING, sequence=7)])
    merge(members, [server(phase=Phase.READY, sequence=6)])

    assert ready_servers(members, "desk") == ()


@pytest.mark.parametrize(
    ("update", "current"),
    [
        (server(sequence=7), True),
        (server(sequence=8), True),
        (server(sequence=6), False),
        (server(sequence=9, born_ms=500), False),
        (server(sequence=9, instance="i-2"), False),
    ],
)
def test_late_heartbeat_is_not_the_current_one(
    update: BackendServer, current: bool
) -> None:
    assert is_current(update, server(sequence=7)) is current


def test_merge_returns_only_changes() -> None:
    members = Members()

    assert len(merge(members, [server(sequence=1)])) == 1
    assert merge(members, [server(sequence=2)]) == []
    assert len(merge(members, [server(sequence=3, slots=20)])) == 1
    assert members.by_address[server().address].sequence == 3


def test_reused_address_counts_for_the_new_service_only() -> None:
    members = Members()
    merge(members, [server()])
    merge(members, [server(service="board", instance="i-b", born_ms=5_000)])

    assert ready_servers(members, "desk") == ()
    assert len(ready_servers(members, "board")) == 1


# Fault: a state without its checksum stayed behind when the merge raised.
def test_state_that_cannot_be_merged_leaves_no_trace() -> None:
    members = Members()
    with pytest.raises(UnicodeEncodeError):
        merge(members, [server(1, instance="\ud83d")])
    assert digest(members) == 0
    assert members.by_address == {}
