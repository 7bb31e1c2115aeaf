"""How many repeated sends a node may add to each service's load.

The fleet's bound holds over a sliding window and for all nodes together. Each node
keeps to its own part: a share of what it sent itself, and of the fixed extra.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import final


@final
@dataclass(frozen=True, slots=True)
class BudgetBounds:
    """The fleet's bound.

    :param ratio: repeats allowed for each request, 0 to 1.
    :param extra: repeats allowed besides, for the whole fleet.
    :param window_s: span over which both hold.
    """

    ratio: float = 0.2
    extra: float = 10.0
    window_s: float = 10.0


# Part of the bound that is used. Nested calls of repeated runs can't be avoided and
# gather at some nodes; the rest of the bound is kept for them. The extra fans out
# along a chain of services whatever their volume.
_USED_RATIO = 0.4
_USED_EXTRA = 0.15


@final
@dataclass(slots=True)
class _Spent:
    sent: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


@final
@dataclass(slots=True)
class Budget:
    """Sends and repeats of this node, by service."""

    bounds: BudgetBounds
    by_service: dict[str, _Spent] = field(default_factory=dict)


def record_send(budget: Budget, service: str, now: float) -> None:
    """Count a first send."""
    spent = budget.by_service.setdefault(service, _Spent())
    spent.sent.append(now)
    _forget(spent.sent, now - budget.bounds.window_s)


def record_repeat(budget: Budget, service: str, now: float) -> None:
    """Count a send that repeats one without this node's choice.

    Such are the nested calls of a run that is itself a repeat.
    """
    budget.by_service.setdefault(service, _Spent()).repeats.append(now)


def take_repeat(budget: Budget, service: str, nodes: int, now: float) -> bool:
    """Return whether one more send may be repeated, and count it if so.

    :param nodes: nodes that share the bound.
    """
    spent = budget.by_service.setdefault(service, _Spent())
    horizon = now - budget.bounds.window_s
    _forget(spent.sent, horizon)
    _forget(spent.repeats, horizon)
    allowed = budget.bounds.ratio * _USED_RATIO * len(spent.sent)
    allowed += budget.bounds.extra * _USED_EXTRA / max(1, nodes)
    if len(spent.repeats) + 1 > allowed:
        return False
    spent.repeats.append(now)
    return True


def _forget(times: deque[float], horizon: float) -> None:
    while times and times[0] < horizon:
        times.popleft()
