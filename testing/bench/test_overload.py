from __future__ import annotations

from collections.abc import Callable

import pytest
from bench.overload.policies import FIFO
from bench.overload.policies import GUARD
from bench.overload.policies import MakePolicy
from bench.overload.policies import NO_CONTROL
from bench.overload.policies import STRICT
from bench.overload.scenarios import add_straggler
from bench.overload.scenarios import flood
from bench.overload.scenarios import floor_share
from bench.overload.scenarios import goodput
from bench.overload.scenarios import recovery_s
from bench.overload.scenarios import Span
from bench.overload.scenarios import Surge
from bench.overload.table import MAX_RECOVERY_S
from bench.overload.table import MIN_GOODPUT
from bench.overload.table import MIN_KEPT_SHARE
from bench.overload.workloads import KERALA
from bench.overload.workloads import single_service
from bench.overload.world import World

SPAN = Span(2.0, 5.0)
SURGE = Surge(begin_s=2.0, length_s=3.0, after_s=4.0)


@pytest.mark.parametrize("factor", [2.0, 5.0])
def test_guard_keeps_goodput_under_overload(factor: float) -> None:
    assert goodput(KERALA, GUARD, factor, Span(3.0, 6.0)) >= MIN_GOODPUT


@pytest.mark.parametrize("policy", [NO_CONTROL, FIFO, STRICT])
def test_baselines_lose_goodput_under_overload(policy: MakePolicy) -> None:
    assert goodput(KERALA, policy, 2.0, Span(3.0, 6.0)) < MIN_GOODPUT


def test_guard_recovers_within_one_deadline_from_a_surge_with_resends() -> None:
    recovered_after_s = recovery_s(GUARD, SURGE, workload=single_service(0.4))
    assert recovered_after_s is not None
    assert recovered_after_s <= MAX_RECOVERY_S


def test_goodput_does_not_recover_without_control() -> None:
    assert recovery_s(NO_CONTROL, SURGE, workload=single_service(0.4)) is None


@pytest.mark.parametrize("disturb", [None, add_straggler], ids=["even", "straggler"])
def test_flood_of_the_least_urgent_class_takes_nothing_from_the_others(
    disturb: Callable[[World], None] | None,
) -> None:
    workload = single_service(0.4)
    baseline = flood(workload, GUARD, "kind-3", 0.8, SPAN, disturb=disturb)
    results = flood(workload, GUARD, "kind-3", 5.0, SPAN, disturb=disturb)
    for kind in ("kind-0", "kind-1", "kind-2"):
        before = baseline[kind].completed / baseline[kind].actions
        assert (
            results[kind].completed / results[kind].actions >= MIN_KEPT_SHARE * before
        )


def test_flood_of_the_most_urgent_class_leaves_the_others_their_floors() -> None:
    workload = single_service(0.4)
    span = Span(2.0, 10.0)
    results = flood(workload, GUARD, "kind-0", 5.0, span)
    for kind in ("kind-1", "kind-2", "kind-3"):
        assert floor_share(workload, results[kind], kind, span) >= MIN_KEPT_SHARE
    flooding = results["kind-0"]
    # Of the 200 slots, 30 % are in no floor.
    assert flooding.held_s >= MIN_KEPT_SHARE * 0.3 * 200 * span.length_s
    assert flooding.completed < flooding.actions
