from __future__ import annotations

from collections import Counter
from itertools import groupby
from random import Random

from bench.shares import CAPACITY_PER_S
from bench.shares import Contention
from bench.shares import flooded_shares
from bench.shares import jain_index
from hypothesis import given
from hypothesis import strategies as st
from testing.decisions.fleet.samples import job

from _masticspoke.decisions.fleet import waiting_lanes
from _masticspoke.decisions.fleet.fair_queue import ahead_of
from _masticspoke.decisions.fleet.fair_queue import dequeue
from _masticspoke.decisions.fleet.fair_queue import enqueue
from _masticspoke.decisions.fleet.fair_queue import FairQueue
from _masticspoke.decisions.fleet.fair_queue import MAX_FLOWS
from _masticspoke.decisions.fleet.fair_queue import remove
from _masticspoke.decisions.fleet.waiting_lanes import Lanes

Arrivals = list[tuple[str, float]]
ARRIVALS = st.lists(
    st.tuples(st.sampled_from(["a", "b", "c", "d"]), st.floats(0.0, 1.0)), max_size=60
)


def queue_of(arrivals: Arrivals) -> FairQueue:
    """Return a queue of these flows and costs; tickets are the numbers from 0."""
    queue = FairQueue()
    for ticket, (flow, cost_s) in enumerate(arrivals):
        enqueue(queue, ticket, flow, cost_s)
    return queue


def serve_all(queue: FairQueue) -> list[int]:
    served = []
    while (ticket := dequeue(queue)) is not None:
        served.append(ticket)
    return served


# Guards against a change of order where there are no organisations.
@given(st.lists(st.floats(0.0, 1.0), max_size=60))
def test_single_flow_is_served_in_order_of_arrival(costs: list[float]) -> None:
    queue = queue_of([("a", cost_s) for cost_s in costs])

    assert serve_all(queue) == list(range(len(costs)))


# Guards against requests that are lost or held back while a slot is free.
@given(ARRIVALS, st.lists(st.integers(0, 59), max_size=20))
def test_every_waiting_request_is_served_once(
    arrivals: Arrivals, removed: list[int]
) -> None:
    queue = queue_of(arrivals)
    for ticket in removed:
        remove(queue, ticket)
    left = set(range(len(arrivals))) - set(removed)

    assert len(queue) == len(left)
    assert sorted(serve_all(queue)) == sorted(left)
    assert not queue.flows
    assert not queue.active


# Guards against a flow that waits longer than its turn: between two of its requests, no
# other flow uses more than the dearest request of each of both.
@given(ARRIVALS)
def test_no_flow_gets_ahead_of_a_waiting_one_by_more_than_two_requests(
    arrivals: Arrivals,
) -> None:
    costs = [max(cost_s, 1e-6) for _, cost_s in arrivals]
    served = serve_all(queue_of(arrivals))
    flows = {flow for flow, _ in arrivals}
    used = dict.fromkeys(flows, 0.0)
    left = Counter(flow for flow, _ in arrivals)
    for ticket in served:
        flow = arrivals[ticket][0]
        used[flow] += costs[ticket]
        left[flow] -= 1
        waiting = [other for other in flows if left[other]]
        assert all(used[flow] - used[other] <= 2.0 for other in waiting)


def test_flow_that_begins_to_wait_does_not_wait_behind_a_long_one() -> None:
    queue = queue_of([("flood", 0.1)] * 100)
    enqueue(queue, 100, "small", 0.1)

    assert ahead_of(queue, "small") == 3
    assert 100 in [dequeue(queue), dequeue(queue)]


def test_idle_time_is_not_saved_up() -> None:
    queue = queue_of([("a", 0.1)] * 50)
    for _ in range(20):
        dequeue(queue)
    for ticket in range(50, 80):
        enqueue(queue, ticket, "b", 0.1)
    order = [ticket >= 50 for ticket in (dequeue(queue) for _ in range(20)) if ticket]

    assert max(len(list(group)) for _, group in groupby(order)) <= 2


# Guards against memory that grows with the number of organisations, or with requests
# that expire while none is served.
def test_flows_and_entries_are_bounded() -> None:
    queue = FairQueue()
    for ticket in range(5 * MAX_FLOWS):
        enqueue(queue, ticket, f"flow {ticket}", 0.1)
    assert len(queue.flows) <= MAX_FLOWS
    assert sorted(serve_all(queue)) == list(range(5 * MAX_FLOWS))

    enqueue(queue, 0, "stays", 0.1)
    for ticket in range(1, 10_000):
        enqueue(queue, ticket, "expires", 0.1)
        remove(queue, ticket)
    assert len(queue.active) < 200
    assert len(queue.idle) <= 2 * MAX_FLOWS + 1


# Guards against one organisation that takes the room of the others.
def test_flooding_organisation_leaves_equal_shares() -> None:
    assert jain_index(flooded_shares()) >= 0.98


def test_organisation_below_its_share_is_hardly_refused_beside_a_flood() -> None:
    per_s = {"flood": 3.0 * CAPACITY_PER_S, "small": 0.2 * CAPACITY_PER_S}
    served = Contention(Random(1), per_s).run(20.0)

    assert served["small"] >= 0.95 * 20.0 * per_s["small"]
    assert served.total() >= 0.95 * 20.0 * CAPACITY_PER_S


# Guards against another order in deployments without organisations.
def test_callers_are_flows_only_beside_organisations() -> None:
    lanes = Lanes()
    for ticket in range(4):
        caller = "desk" if ticket < 3 else "board"
        waiting_lanes.enqueue(lanes, ticket, job(ticket, caller=caller), 9.0, 0.1)
    in_order = [waiting_lanes.dequeue(lanes, True) for _ in range(4)]
    assert [w.ticket for w in in_order if w is not None] == [0, 1, 2, 3]

    entering = job(4, organisation="north")
    waiting_lanes.enqueue(lanes, 4, entering, 9.0, 0.1)
    for ticket in range(5, 9):
        caller = "desk" if ticket < 8 else "board"
        waiting_lanes.enqueue(lanes, ticket, job(ticket, caller=caller), 9.0, 0.1)
    first = [waiting_lanes.dequeue(lanes, True) for _ in range(3)]
    assert {w.ticket for w in first if w is not None} == {4, 5, 8}


# Guards against nested requests that wait behind those of other runs because of
# their organisation.
def test_nested_requests_start_in_order_of_arrival() -> None:
    lanes = Lanes()
    for ticket, organisation in enumerate("aaab"):
        nested = job(ticket, nested=True, organisation=organisation)
        waiting_lanes.enqueue(lanes, ticket, nested, 9.0, 0.1)

    started = [waiting_lanes.dequeue(lanes, False) for _ in range(4)]
    assert [w.ticket for w in started if w is not None] == [0, 1, 2, 3]


# Guards against counts of flows that go wrong when requests come, go and expire.
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["enter", "serve", "expire"]),
            st.sampled_from("abcde"),
            st.floats(0.0, 1.0),
        ),
        max_size=80,
    )
)
def test_counts_hold_in_any_order_of_events(
    events: list[tuple[str, str, float]],
) -> None:
    queue = FairQueue()
    waiting: dict[int, str] = {}
    for ticket, (event, flow, cost_s) in enumerate(events):
        if event == "enter":
            enqueue(queue, ticket, flow, cost_s)
            waiting[ticket] = flow
        elif event == "serve":
            served = dequeue(queue)
            assert (served is None) == (not waiting)
            waiting.pop(served or 0, None)
        else:
            expired = next((t for t, f in waiting.items() if f == flow), None)
            if expired is not None:
                remove(queue, expired)
                del waiting[expired]
        assert len(queue) == len(waiting)
        assert queue.active_flows == len(set(waiting.values()))
