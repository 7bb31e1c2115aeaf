from __future__ import annotations

from bisect import bisect_left
from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.budget import Budget
from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.decisions.fleet.budget import record_first_send
from _masticspoke.decisions.fleet.budget import record_retry
from _masticspoke.decisions.fleet.budget import take_retry

BOUNDS = BudgetBounds(ratio=0.2, extra=50, window_s=10)


@given(
    nodes=st.integers(1, 20),
    sends=st.lists(st.floats(0, 30), max_size=200),
    retries=st.lists(st.floats(0, 30), min_size=1, max_size=200),
)
def test_retries_of_all_nodes_stay_within_the_bound(
    nodes: int, sends: list[float], retries: list[float]
) -> None:
    budget = Budget(BOUNDS)
    events = sorted([(t, True) for t in sends] + [(t, False) for t in retries])
    allowed = []
    for now, is_first_send in events:
        if is_first_send:
            record_first_send(budget, "desk", now)
        elif take_retry(budget, "desk", nodes, now):
            allowed.append(now)
    for start in allowed:
        retried = sum(start <= t <= start + 10 for t in allowed)
        sent = sum(start - 10 <= t <= start + 10 for t in sends)
        assert retried * nodes <= 2 * (0.2 * sent * nodes + 50)


def test_each_service_has_its_own_budget() -> None:
    budget = Budget(BudgetBounds(ratio=0.0, extra=10, window_s=10))
    while take_retry(budget, "desk", 1, 0.0):
        pass

    assert take_retry(budget, "board", 1, 0.0)


def test_retries_are_allowed_again_after_the_window() -> None:
    budget = Budget(BudgetBounds(ratio=0.0, extra=10, window_s=10))
    while take_retry(budget, "desk", 1, 0.0):
        pass

    assert not take_retry(budget, "desk", 1, 9.9)
    assert take_retry(budget, "desk", 1, 10.1)


def test_nested_requests_of_retried_runs_use_up_the_budget() -> None:
    budget = Budget(BudgetBounds(ratio=0.0, extra=100, window_s=10))
    allowed = 0
    while take_retry(budget, "desk", 1, 0.0):
        allowed += 1
    budget = Budget(BudgetBounds(ratio=0.0, extra=100, window_s=10))
    for _ in range(allowed - 1):
        record_retry(budget, "desk", 0.0)

    assert take_retry(budget, "desk", 1, 0.0)
    assert not take_retry(budget, "desk", 1, 0.0)


@given(
    failing=st.floats(0.0, 1.0),
    per_s=st.integers(1, 60),
    fan_out=st.integers(1, 5),
    nodes=st.integers(1, 8),
    seed=st.integers(0, 2**32),
)
@settings(max_examples=40, deadline=None)
def test_retries_stay_within_the_bound_at_each_service_of_a_chain(
    failing: float, per_s: int, fan_out: int, nodes: int, seed: int
) -> None:
    """Guards against retries that multiply along a chain of services.

    Failed sends are retried where the budget allows it; nested requests of a retried
    run count as retries.
    """
    chain = ("desk", "index", "board")
    random = Random(seed)
    budgets = [Budget(BOUNDS) for _ in range(nodes)]
    firsts: dict[str, list[float]] = {name: [] for name in chain}
    retries: dict[str, list[float]] = {name: [] for name in chain}

    def run(level: int, now: float, parent_is_retry: bool) -> None:
        if level == len(chain):
            return
        name, budget = chain[level], random.choice(budgets)
        calls = fan_out if level == len(chain) - 1 else 1
        for _ in range(calls):
            record_first_send(budget, name, now)
            firsts[name].append(now)
            if parent_is_retry:
                record_retry(budget, name, now)
                retries[name].append(now)
            run(level + 1, now, parent_is_retry)
            failed = random.random() < failing
            if failed and take_retry(budget, name, nodes, now):
                retries[name].append(now)
                run(level + 1, now, parent_is_retry=True)

    for tick in range(25 * per_s):
        run(0, tick / per_s, parent_is_retry=False)
    for name in chain:
        for start in {t for t in retries[name] if t == int(t)}:
            retried = _count(retries[name], start)
            first_sends = max(_count(firsts[name], start - back) for back in (0, 5, 10))
            assert retried <= 0.2 * first_sends + 50


def _count(times: list[float], start: float) -> int:
    return bisect_left(times, start + 10) - bisect_left(times, start)
