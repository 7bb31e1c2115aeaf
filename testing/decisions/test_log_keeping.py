from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.backoff import pause_after
from _masticspoke.decisions.log_health import LogState
from _masticspoke.decisions.log_health import LogTransition
from _masticspoke.decisions.log_health import record_result
from _masticspoke.decisions.snapshots import is_our_turn
from _masticspoke.decisions.snapshots import snapshot_appended
from _masticspoke.decisions.snapshots import snapshot_read
from _masticspoke.decisions.snapshots import SnapshotClock
from _masticspoke.decisions.snapshots import SnapshotPolicy
from _masticspoke.decisions.snapshots import update_due
from _masticspoke.decisions.turns import TURN_S
from _masticspoke.model import Address

NODES = [Address("127.0.0.1", n) for n in range(1, 6)]
POLICY = SnapshotPolicy(records=100, interval_s=600.0)


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=40))
def test_each_change_of_the_logs_availability_is_reported_once(
    tries: list[tuple[str, bool]],
) -> None:
    state = LogState()
    transitions = []
    for source, failed in tries:
        state, transition = record_result(state, source, "no answer" if failed else "")
        if transition is not None:
            transitions.append(transition)

    assert (
        transitions
        == ([LogTransition.UNAVAILABLE, LogTransition.AVAILABLE] * len(tries))[
            : len(transitions)
        ]
    )
    assert state.available == (
        not transitions or transitions[-1] is LogTransition.AVAILABLE
    )


@given(st.integers(1, 10_000), st.integers(0, 1000))
def test_pause_doubles_up_to_its_bound_with_jitter(failures: int, seed: int) -> None:
    pause = pause_after(failures, 0.2, 2.0, Random(seed))

    full_pause = min(2.0, 0.2 * 2 ** min(failures - 1, 10))
    assert full_pause / 2 <= pause <= full_pause


def test_nodes_append_a_due_snapshot_one_after_another() -> None:
    clock = update_due(snapshot_read(10, now=0.0), 111, POLICY, now=1.0)

    def nodes_with_turn(now: float) -> int:
        return sum(is_our_turn(clock, node, NODES, now) for node in NODES)

    assert [nodes_with_turn(1.0 + TURN_S * n) for n in range(6)] == [1, 2, 3, 4, 5, 5]
    own = next(n for n in NODES if is_our_turn(clock, n, NODES, 1.0))
    after = snapshot_appended(clock, 1.0)
    assert not is_our_turn(after, own, NODES, 1.0 + TURN_S)
    assert is_our_turn(after, own, NODES, 1.0 + 2 * TURN_S)


def test_snapshot_is_due_after_records_or_time_but_not_of_an_empty_stream() -> None:
    read_clock = snapshot_read(10, now=0.0)

    assert update_due(read_clock, 110, POLICY, now=1.0).due_since is None
    assert update_due(read_clock, 111, POLICY, now=1.0).due_since == 1.0
    assert update_due(read_clock, 10, POLICY, now=600.0).due_since is None
    assert update_due(read_clock, 10, POLICY, now=601.0).due_since == 601.0
    started = update_due(SnapshotClock(), -1, POLICY, now=0.0)
    assert update_due(started, -1, POLICY, now=9_999.0).due_since is None
