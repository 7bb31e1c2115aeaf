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
def test_log_is_reported_once_per_change_of_state(
    tries: list[tuple[str, bool]],
) -> None:
    state = LogState()
    turns = []
    for source, failed in tries:
        state, turn = record_result(state, source, "no answer" if failed else "")
        if turn is not None:
            turns.append(turn)

    assert (
        turns
        == ([LogTransition.LOST, LogTransition.RESTORED] * len(tries))[: len(turns)]
    )
    assert state.available == (not turns or turns[-1] is LogTransition.RESTORED)


@given(st.integers(1, 10_000), st.integers(0, 1000))
def test_pause_grows_to_its_bound_with_jitter(failures: int, seed: int) -> None:
    pause = pause_after(failures, 0.2, 2.0, Random(seed))

    whole = min(2.0, 0.2 * 2 ** min(failures - 1, 10))
    assert whole / 2 <= pause <= whole


def test_one_node_appends_a_snapshot_that_is_due_and_others_follow_in_turn() -> None:
    clock = update_due(snapshot_read(10, now=0.0), 111, POLICY, now=1.0)

    def in_turn(now: float) -> int:
        return sum(is_our_turn(clock, node, NODES, now) for node in NODES)

    assert [in_turn(1.0 + TURN_S * n) for n in range(6)] == [1, 2, 3, 4, 5, 5]
    own = next(n for n in NODES if is_our_turn(clock, n, NODES, 1.0))
    after = snapshot_appended(clock, 1.0)
    assert not is_our_turn(after, own, NODES, 1.0 + TURN_S)
    assert is_our_turn(after, own, NODES, 1.0 + 2 * TURN_S)


def test_snapshot_is_due_after_records_or_time_but_not_of_nothing() -> None:
    seen = snapshot_read(10, now=0.0)

    assert update_due(seen, 110, POLICY, now=1.0).due_since is None
    assert update_due(seen, 111, POLICY, now=1.0).due_since == 1.0
    assert update_due(seen, 10, POLICY, now=600.0).due_since is None
    assert update_due(seen, 10, POLICY, now=601.0).due_since == 601.0
    started = update_due(SnapshotClock(), -1, POLICY, now=0.0)
    assert update_due(started, -1, POLICY, now=9_999.0).due_since is None
