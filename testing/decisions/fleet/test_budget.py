from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from _masticspoke.decisions.fleet.budget import Budget
from _masticspoke.decisions.fleet.budget import BudgetBounds
from _masticspoke.decisions.fleet.budget import record_send
from _masticspoke.decisions.fleet.budget import take_repeat

BOUNDS = BudgetBounds(ratio=0.2, extra=50, window_s=10)


@given(
    nodes=st.integers(1, 20),
    sends=st.lists(st.floats(0, 30), max_size=200),
    repeats=st.lists(st.floats(0, 30), min_size=1, max_size=200),
)
def test_all_nodes_together_keep_the_bound(
    nodes: int, sends: list[float], repeats: list[float]
) -> None:
    budget = Budget(BOUNDS)
    events = sorted([(t, True) for t in sends] + [(t, False) for t in repeats])
    taken = []
    for now, first in events:
        if first:
            record_send(budget, "desk", now)
        elif take_repeat(budget, "desk", nodes, now):
            taken.append(now)
    for start in taken:
        inside = sum(start <= t <= start + 10 for t in taken)
        sent = sum(start - 10 <= t <= start + 10 for t in sends)
        assert inside * nodes <= 2 * (0.2 * sent * nodes + 50)


def test_services_have_budgets_of_their_own() -> None:
    budget = Budget(BudgetBounds(ratio=0.0, extra=10, window_s=10))
    while take_repeat(budget, "desk", 1, 0.0):
        pass

    assert take_repeat(budget, "board", 1, 0.0)


def test_repeats_come_back_after_the_window() -> None:
    budget = Budget(BudgetBounds(ratio=0.0, extra=10, window_s=10))
    while take_repeat(budget, "desk", 1, 0.0):
        pass

    assert not take_repeat(budget, "desk", 1, 9.9)
    assert take_repeat(budget, "desk", 1, 10.1)
