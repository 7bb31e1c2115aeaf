from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.decisions.limit import initial_limit
from _masticspoke.decisions.limit import LimitState
from _masticspoke.decisions.limit import record_latency
from _masticspoke.decisions.limit import set_slots


def simulate_load(
    state: LimitState, capacity: int, rounds: int, factor: float = 1.0, now: float = 0.0
) -> float:
    """Record latencies of a busy backend server that runs ``capacity`` calls at once.

    :return: the time of the last sample.
    """
    random = Random(7)
    for _ in range(rounds):
        for _ in range(max(32, state.limit)):
            queued = max(1.0, state.limit / capacity)
            latency_s = 0.1 * factor * queued * (0.8 + 0.4 * random.random())
            now += latency_s / state.limit
            record_latency(state, "k", latency_s, state.limit, now)
    return now


def test_limit_starts_low_and_reaches_the_slots_while_latency_is_steady() -> None:
    state = initial_limit(60)
    assert state.limit == 15
    simulate_load(state, capacity=60, rounds=10)
    assert state.limit == 60


def test_limit_stays_near_the_real_capacity_when_slots_are_overstated() -> None:
    state = initial_limit(100)
    simulate_load(state, capacity=30, rounds=200)
    assert 25 <= state.limit <= 45


def test_limit_is_restored_when_a_downstream_service_is_slow() -> None:
    state = initial_limit(60)
    now = simulate_load(state, capacity=60, rounds=20)
    simulate_load(state, capacity=60, rounds=20, factor=4.0, now=now)
    assert state.limit >= 54


def test_limit_does_not_grow_while_it_is_not_used() -> None:
    state = initial_limit(60)
    for index in range(1_000):
        record_latency(state, "k", 0.1, 2, index * 0.1)
    assert state.limit == 15


def test_fewer_slots_lower_the_limit_at_once() -> None:
    state = initial_limit(60)
    set_slots(state, 5)
    assert state.limit == 5


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    slots=st.integers(1, 300),
    samples=st.lists(
        st.tuples(st.sampled_from("abc"), st.floats(0, 100), st.integers(1, 300)),
        max_size=400,
    ),
)
def test_limit_stays_between_one_and_the_slots(
    slots: int, samples: list[tuple[str, float, int]]
) -> None:
    state = initial_limit(slots)
    for index, (kind, latency_s, running) in enumerate(samples):
        record_latency(state, kind, latency_s, running, index * 0.01)
        assert 1 <= state.limit <= slots
