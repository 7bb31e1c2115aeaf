from __future__ import annotations

from collections.abc import Callable

import pytest
from bench.overload.policies import FIFO
from bench.overload.policies import GUARD
from bench.overload.policies import MakePolicy
from bench.overload.policies import NO_CONTROL
from bench.overload.policies import STRICT
from bench.overload.scenarios import flood
from bench.overload.scenarios import floor_kept
from bench.overload.scenarios import goodput
from bench.overload.scenarios import recovery_s
from bench.overload.scenarios import Span
from bench.overload.scenarios import straggle
from bench.overload.scenarios import Surge
from bench.overload.table import MAX_RECOVERY_S
from bench.overload.table import MIN_GOODPUT
from bench.overload.table import MIN_KEPT
from bench.overload.workloads import KERALA
from bench.overload.workloads import single_service
from bench.overload.world import World

SPAN = Span(2.0, 5.0)
SURGE = Surge(begin_s=2.0, length_s=3.0, after_s=4.0)


@pytest.mark.parametrize("factor", [2.0, 5.0])
def test_guard_turns_capacity_into_whole_answers(factor: float) -> None:
    assert goodput(KERALA, GUARD, factor, Span(3.0, 6.0)) >= MIN_GOODPUT


@pytest.mark.parametrize("policy", [NO_CONTROL, FIFO, STRICT])
def test_baselines_waste_capacity(policy: MakePolicy) -> None:
    assert goodput(KERALA, policy, 2.0, Span(3.0, 6.0)) < MIN_GOODPUT


def test_guard_recovers_within_one_deadline_from_clients_that_re_send_hard() -> None:
    back = recovery_s(GUARD, SURGE, workload=single_service(0.4))
    assert back is not None
    assert back <= MAX_RECOVERY_S


def test_without_control_the_collapse_outlasts_the_surge() -> None:
    assert recovery_s(NO_CONTROL, SURGE, workload=single_service(0.4)) is None


@pytest.mark.parametrize("disturb", [None, straggle], ids=["even", "straggler"])
def test_flood_of_the_least_urgent_costs_the_more_urgent_nothing(
    disturb: Callable[[World], None] | None,
) -> None:
    workload = single_service(0.4)
    calm = flood(workload, GUARD, "kind-3", 0.8, SPAN, disturb=disturb)
    found = flood(workload, GUARD, "kind-3", 5.0, SPAN, disturb=disturb)
    for kind in ("kind-0", "kind-1", "kind-2"):
        before = calm[kind].whole / calm[kind].asked
        assert found[kind].whole / found[kind].asked >= MIN_KEPT * before


def test_flood_of_the_most_urgent_leaves_every_class_its_floor() -> None:
    workload = single_service(0.4)
    span = Span(2.0, 10.0)
    found = flood(workload, GUARD, "kind-0", 5.0, span)
    for kind in ("kind-1", "kind-2", "kind-3"):
        assert floor_kept(workload, found[kind], kind, span) >= MIN_KEPT
    flooding = found["kind-0"]
    assert flooding.held_s >= MIN_KEPT * 0.3 * 200 * span.length_s
    assert flooding.whole < flooding.asked
