"""Retry budget: bounds the retries that a node adds to each service's load.

The bound holds for all nodes together, over a sliding window. Each node uses only its
own part: retries in proportion to its own first sends, and its share of the extra
retries that are allowed at any load.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import final


@final
@dataclass(frozen=True, slots=True)
class BudgetBounds:
    """Bound on retries that holds for all nodes together.

    :param ratio: retries allowed for each first send, 0 to 1.
    :param extra: retries allowed in addition, at any load.
    :param window_s: length of the sliding window in which retries are counted.
    """

    ratio: float = 0.2
    extra: float = 10.0
    window_s: float = 10.0


# Fraction of each bound that nodes use for retries that they decide on. The rest is
# left for the nested requests of runs that are retries: they count as retries too, but
# are sent even if the budget is spent, and they gather at some nodes. The fraction of
# the extra retries is smaller, since they multiply along a chain of services whatever
# their load.
_USED_RATIO_FRACTION = 0.4
_USED_EXTRA_FRACTION = 0.15


@final
@dataclass(slots=True)
class _SendTimes:
    first_sends: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


@final
@dataclass(slots=True)
class Budget:
    """First sends and retries of this node, by service."""

    bounds: BudgetBounds
    by_service: dict[str, _SendTimes] = field(default_factory=dict)


def record_first_send(budget: Budget, service: str, now: float) -> None:
    """Count the first send of a request."""
    times = budget.by_service.setdefault(service, _SendTimes())
    times.first_sends.append(now)
    _remove_before(times.first_sends, now - budget.bounds.window_s)


def record_retry(budget: Budget, service: str, now: float) -> None:
    """Count the first send of a nested request whose parent run is a retry.

    It adds load as a retry does, but is sent even if the budget is spent.
    """
    budget.by_service.setdefault(service, _SendTimes()).retries.append(now)


def take_retry(budget: Budget, service: str, nodes: int, now: float) -> bool:
    """Return whether the budget allows one more retry, and count the retry if so.

    :param nodes: number of nodes that share the bound.
    """
    times = budget.by_service.setdefault(service, _SendTimes())
    start = now - budget.bounds.window_s
    _remove_before(times.first_sends, start)
    _remove_before(times.retries, start)
    allowed = budget.bounds.ratio * _USED_RATIO_FRACTION * len(times.first_sends)
    allowed += budget.bounds.extra * _USED_EXTRA_FRACTION / max(1, nodes)
    if len(times.retries) + 1 > allowed:
        return False
    times.retries.append(now)
    return True


def _remove_before(times: deque[float], start: float) -> None:
    while times and times[0] < start:
        times.popleft()
