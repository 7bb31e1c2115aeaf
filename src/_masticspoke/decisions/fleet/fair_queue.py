"""Queue that serves its flows in turn, by the run time that they use.

Handles one organisation that sends far more than others of its rank: theirs do not wait
behind its requests. It is start-time fair queueing: each flow has a start tag, the run
time that it has used. The flow with the lowest tag is served next. A flow that begins
to wait has at least the tag of the flow that was served last, so that it can't save up
time in which it sent nothing. With one flow the queue is a FIFO queue.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from heapq import heapify
from heapq import heappop
from heapq import heappush
from typing import final
from zlib import crc32

from _masticspoke.decisions.fleet.model import Job

# Flows that are kept apart. Beyond them, several share one of the others.
MAX_FLOWS = 1_024
SHARED_FLOWS = 64
# Least cost of a request, seconds, so that each one changes the tag of its flow.
_MIN_COST_S = 1e-6
# Entries of flows that are no longer active, which are kept at least.
_MAX_STALE_ENTRIES = 64


@final
@dataclass(slots=True)
class _Flow:
    """Waiting requests of one flow.

    :param start_tag: run time that the flow has used.
    :param cost_s: expected run time by ticket, in order of arrival.
    """

    start_tag: float
    cost_s: OrderedDict[int, float] = field(default_factory=OrderedDict)


@final
@dataclass(slots=True)
class FairQueue:
    """Tickets that wait, by flow.

    :param flows: flows that have requests, or used more run time than the flow that
        was served last.
    :param active: heap of the start tag, a number and the key of each flow that has
        requests; entries of other flows are dropped later.
    :param idle: heap of the start tag and the key of flows without requests.
    :param flow_by_ticket: key of the flow of each waiting request.
    :param served_tag: start tag of the flow that was served last.
    """

    flows: dict[str, _Flow] = field(default_factory=dict)
    active: list[tuple[float, int, str]] = field(default_factory=list)
    idle: list[tuple[float, str]] = field(default_factory=list)
    flow_by_ticket: dict[int, str] = field(default_factory=dict)
    active_flows: int = 0
    served_tag: float = 0.0
    number: int = 0

    def __len__(self) -> int:
        return len(self.flow_by_ticket)


def flow_key(job: Job, by_caller: bool) -> str:
    """Return the flow that a request belongs to.

    :param by_caller: whether requests without an organisation are told apart by the
        calling service.
    """
    if job.organisation:
        return "organisation " + job.organisation
    return "caller " + job.caller if by_caller else ""


def enqueue(queue: FairQueue, ticket: int, key: str, cost_s: float) -> None:
    """Let a request wait.

    :param cost_s: expected run time.
    """
    key = _own_or_shared(queue, key)
    flow = queue.flows.get(key)
    if flow is None:
        flow = queue.flows[key] = _Flow(queue.served_tag)
    if not flow.cost_s:
        flow.start_tag = max(flow.start_tag, queue.served_tag)
        queue.active_flows += 1
        _activate(queue, key, flow)
    flow.cost_s[ticket] = max(_MIN_COST_S, cost_s)
    queue.flow_by_ticket[ticket] = key


def _own_or_shared(queue: FairQueue, key: str) -> str:
    if key in queue.flows or len(queue.flows) < MAX_FLOWS - SHARED_FLOWS:
        return key
    return f"shared {crc32(key.encode()) % SHARED_FLOWS}"


def _activate(queue: FairQueue, key: str, flow: _Flow) -> None:
    queue.number += 1
    heappush(queue.active, (flow.start_tag, queue.number, key))
    if len(queue.active) > 2 * queue.active_flows + _MAX_STALE_ENTRIES:
        latest = {entry[2]: entry for entry in sorted(queue.active)}
        queue.active = [e for k, e in latest.items() if _is_current(queue, e, k)]
        heapify(queue.active)


def _is_current(queue: FairQueue, entry: tuple[float, int, str], key: str) -> bool:
    flow = queue.flows.get(key)
    return flow is not None and entry[0] == flow.start_tag


def dequeue(queue: FairQueue) -> int | None:
    """Remove and return the ticket that is served next; ``None`` if none waits."""
    while queue.active:
        tag, _, key = heappop(queue.active)
        flow = queue.flows.get(key)
        if flow is None or not flow.cost_s or tag != flow.start_tag:
            # The flow has become idle since, or has another tag.
            continue
        ticket, cost_s = flow.cost_s.popitem(last=False)
        del queue.flow_by_ticket[ticket]
        queue.served_tag = tag
        flow.start_tag = tag + cost_s
        if flow.cost_s:
            _activate(queue, key, flow)
        else:
            _deactivate(queue, key, flow)
        _forget_idle(queue)
        return ticket
    return None


def _deactivate(queue: FairQueue, key: str, flow: _Flow) -> None:
    queue.active_flows -= 1
    heappush(queue.idle, (flow.start_tag, key))


def _forget_idle(queue: FairQueue) -> None:
    if not queue.flow_by_ticket:
        # Nobody waits for the room that a flow used more than others.
        queue.flows.clear()
        queue.active.clear()
        queue.idle.clear()
        return
    while queue.idle and queue.idle[0][0] <= queue.served_tag:
        tag, key = heappop(queue.idle)
        flow = queue.flows.get(key)
        if flow is not None and not flow.cost_s and flow.start_tag <= tag:
            del queue.flows[key]
    if len(queue.idle) > 2 * MAX_FLOWS:
        queue.idle = [
            (flow.start_tag, key)
            for key, flow in queue.flows.items()
            if not flow.cost_s
        ]
        heapify(queue.idle)


def remove(queue: FairQueue, ticket: int) -> None:
    """Remove a waiting request; it has used no run time."""
    key = queue.flow_by_ticket.pop(ticket, None)
    if key is None:
        return
    flow = queue.flows[key]
    del flow.cost_s[ticket]
    if not flow.cost_s:
        _deactivate(queue, key, flow)
        _forget_idle(queue)


def ahead_of(queue: FairQueue, key: str) -> int:
    """Return how many requests are expected to be served before a new one of a flow.

    Flows are served in turn, so for each request of its own flow that waits, and for
    the new one itself, one of each other flow goes first.
    """
    flow = queue.flows.get(key)
    if flow is None and len(queue.flows) >= MAX_FLOWS - SHARED_FLOWS:
        flow = queue.flows.get(_own_or_shared(queue, key))
    own = 0 if flow is None else len(flow.cost_s)
    others = queue.active_flows - (1 if own else 0)
    return min(len(queue), own + (own + 1) * others)
