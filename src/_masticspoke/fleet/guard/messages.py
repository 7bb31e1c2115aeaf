"""Messages to and from the gate of the local backend server.

The first line of each docstring names the sender, the receiver and the content.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.learned_limit import Move
from _masticspoke.decisions.fleet.model import BackendNotice
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.queueing import Verdict
from _masticspoke.decisions.fleet.run_outcomes import RunOutcome
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class Admit:
    """Request task to gate: decide whether a job may run at the local backend server.

    :param ticket: identifies the job; unique at this node.
    """

    ticket: int
    job: Job
    reply: Reply[Verdict]


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Request task to gate: a run has ended.

    :param answered: whether the backend server answered, so that the run time counts.
    :param outcome: whether it succeeded, or failed with a nested request.
    :param shows_speed: whether its run time is that of the backend server alone.
    """

    ticket: int
    answered: bool
    outcome: RunOutcome = RunOutcome.OTHER
    shows_speed: bool = False


@final
@dataclass(frozen=True, slots=True)
class RequestNotRun:
    """Request task to gate: the request ended before its run began.

    Sent after each refusal, and if the caller disconnects before the task has read the
    gate's verdict. The gate removes the request if it waits, or frees its slot if it
    was admitted. Then it refuses waiting requests that have expired, starts others in
    free slots and publishes its load. A request that is declined after the task has
    read that it is admitted ends with :class:`RunEnded` instead.
    """

    ticket: int


@final
@dataclass(frozen=True, slots=True)
class LocalBackendState:
    """Registry to gate: the latest state of the local backend server.

    :param has_just_started: whether its first heartbeats have just arrived, so that it
        can't have named a limit before.
    """

    server: BackendServer
    has_just_started: bool = False


@final
@dataclass(frozen=True, slots=True)
class BackendUnreachable:
    """Request task to gate: the local backend server accepts no connection.

    :param server: state of the server when the request was sent.
    """

    server: BackendServer


@final
@dataclass(frozen=True, slots=True)
class BackendAnswered:
    """Request task to gate: the local backend server has answered a request.

    Sent while the gate paces requests or waits for a first answer, with each answer
    that names a limit, and when the slowdown that answers name has changed.

    :param server: state of the server when the request was sent.
    :param notice: what the server says of itself; its limit is readable.
    :param sent_at: time at which the request was sent.
    """

    server: BackendServer
    notice: BackendNotice
    sent_at: float


@final
@dataclass(frozen=True, slots=True)
class DownstreamPressure:
    """Placer to gate: expected wait of nested requests at the called services.

    :param pressure_s: highest mean pressure of a recently called service, as reported
        by its guards in :class:`GuardLoad`.
    """

    pressure_s: float


@final
@dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Departure to gate: the node is stopping; refuse all new requests."""


@final
@dataclass(frozen=True, slots=True)
class AskActiveCount:
    """Departure to gate: return the number of running and waiting requests."""

    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class LearnedLimitState:
    """The learned limit, its last move, and how run times grow with occupancy."""

    value: float
    last_move: Move
    elasticity: float


@final
@dataclass(frozen=True, slots=True)
class GuardState:
    """The local backend server and its load, as the gate publishes them.

    :param server: ``None`` until its state is known.
    :param needs_answers: whether the gate paces requests, or waits for a first answer
        before it knows whether it has to.
    :param rate_limit: requests a second that may start; ``None`` without a limit.
    :param slowdown: latest that the backend server named; ``None`` if it named none.
    :param route_limits: limits on concurrent runs by route, if its runs failed
        with their nested requests.
    :param learned_limit: ``None`` while no limit is learned.
    """

    server: BackendServer | None = None
    load: GuardLoad = field(default_factory=GuardLoad)
    needs_answers: bool = False
    rate_limit: float | None = None
    slowdown: float | None = None
    route_limits: tuple[tuple[str, float], ...] = ()
    learned_limit: LearnedLimitState | None = None
