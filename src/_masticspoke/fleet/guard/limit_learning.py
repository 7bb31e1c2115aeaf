"""Learning of the gate: the concurrency limit of the local backend server."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet import learned_limit
from _masticspoke.decisions.fleet.elasticity import local_elasticity
from _masticspoke.decisions.fleet.learned_limit import LearnedLimit
from _masticspoke.decisions.fleet.learned_limit import LearningMode
from _masticspoke.decisions.fleet.learned_limit import Move
from _masticspoke.decisions.fleet.model import BackendNotice
from _masticspoke.decisions.fleet.model import Configuration
from _masticspoke.decisions.fleet.queueing import Queue
from _masticspoke.events import Event
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.guard.messages import LearnedLimitState
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.mailbox import Mailbox

# Change of the slowdown that the gate is not told, as a fraction of the one it knows.
MAX_UNTOLD_CHANGE = 0.1
# Change of the limit since the last log line that is worth the next, as a fraction.
_LOGGED_CHANGE = 0.2


@final
@dataclass(slots=True)
class LimitLearning:
    """The learned limit of one incarnation of the local backend server.

    :param configuration: the configuration in force.
    :param slowdown: latest that the server named; ``None`` if it named none.
    :param limit: ``None`` while no limit is learned.
    :param logged: limit in the last log line.
    """

    mode: LearningMode = LearningMode.AUTO
    configuration: Latest[Configuration | None] = field(
        default_factory=lambda: Latest(None)
    )
    slowdown: float | None = None
    limit: LearnedLimit | None = None
    logged: float = 0.0

    @property
    def state(self) -> LearnedLimitState | None:
        """What the gate publishes; ``None`` while no limit is learned."""
        limit = self.limit
        if limit is None:
            return None
        slope, error = local_elasticity(limit.comparison)
        known = error < learned_limit.FALL_ELASTICITY
        return LearnedLimitState(limit.value, limit.last_move, slope if known else 0.0)


def concerns_gate(state: GuardState, notice: BackendNotice) -> bool:
    """Return whether a notice may change what the gate does.

    The gate is told of a slowdown only when it has changed, since each answer names it.
    """
    if notice.rate_limit is not None or state.needs_answers:
        return True
    if notice.slowdown is None:
        return False
    known = state.slowdown
    return known is None or abs(notice.slowdown - known) > MAX_UNTOLD_CHANGE * known


def reset(learning: LimitLearning, queue: Queue) -> None:
    """Forget what is known: another start of the server may be of another speed."""
    learning.slowdown = learning.limit = queue.learned_limit = None


def update_limit(learning: LimitLearning, queue: Queue, now: float) -> None:
    """Set the limit of the queue; begin or end learning as the settings say."""
    configuration = learning.configuration.value
    if not learned_limit.learns(learning.mode, learning.slowdown, configuration):
        learning.limit = queue.learned_limit = None
        return
    limit = learning.limit
    if limit is None:
        limit = learned_limit.new_learned_limit(queue.announced_limit, now)
        learning.limit, learning.logged = limit, limit.value
    learned_limit.set_ceiling(limit, queue.announced_limit)
    queue.learned_limit = learned_limit.limit_at(limit, now)


def record_start(
    learning: LimitLearning, queue: Queue, ticket: int, now: float
) -> None:
    """Record the start of a run."""
    if learning.limit is not None:
        learned_limit.record_start(learning.limit, ticket, len(queue.running), now)


def record_end(
    learning: LimitLearning,
    queue: Queue,
    ticket: int,
    shows_speed: bool,
    trail: Mailbox[TrailMessage],
    now: float,
) -> None:
    """Record the end of a run, before the queue does.

    :param shows_speed: whether the run time is that of the server alone.
    """
    limit = learning.limit
    if limit is None or ticket not in queue.running:
        return
    job, _ = queue.running[ticket]
    route = job.route if shows_speed else None
    left = len(queue.running) - 1
    move = learned_limit.record_end(limit, ticket, left, route, learning.slowdown, now)
    if move is not None:
        _log_move(learning, limit, move, trail)


def _log_move(
    learning: LimitLearning,
    limit: LearnedLimit,
    move: Move,
    trail: Mailbox[TrailMessage],
) -> None:
    if abs(limit.value - learning.logged) < _LOGGED_CHANGE * learning.logged:
        return
    slope, error = local_elasticity(limit.comparison)
    mean = learned_limit.mean_elasticity(limit)
    fields = {
        "limit": round(limit.value),
        "before": round(learning.logged),
        "ceiling": limit.ceiling,
        "reason": move.value,
        "elasticity": round(slope, 2),
        "error": round(error, 2),
        "mean_elasticity": None if mean is None else round(mean, 2),
        "slowdown": learning.slowdown,
    }
    learning.logged = limit.value
    trail.tell(EventRecord(Event.LEARNED_LIMIT_CHANGED, fields))
