"""Data classes of the fleet: routes, backend servers, and the work sent to them.

Times are seconds on the local monotonic clock unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import IntEnum
from enum import StrEnum
from typing import final

from _masticspoke.model import Address


@final
@dataclass(frozen=True, slots=True)
class Share:
    """A service's part of a route's requests.

    :param weight: its share relative to the route's other weights.
    """

    service: str
    weight: float


@final
@dataclass(frozen=True, slots=True)
class Route:
    """One kind of work and where it goes.

    :param prefix: begins and ends with a slash.
    :param repeatable: whether a request may run more than once.
    :param timeout_s: longest time that a request is kept waiting.
    :param objective_s: latency within which an answer is in time.
    :param rank: 0 is the most urgent.
    :param max_attempts: backend servers that one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    shares: tuple[Share, ...]


@final
@dataclass(frozen=True, slots=True)
class Limits:
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@final
@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes in force.

    :param version: only ever increases within one process.
    :param routes: by host and prefix.
    :param health_paths: path of the health check by service.
    """

    version: int
    routes: Mapping[tuple[str, str], Route]
    health_paths: Mapping[str, str] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)


def limits_of(configuration: Configuration | None) -> Limits:
    """Return the limits in force, also before any configuration is known."""
    return Limits() if configuration is None else configuration.limits


@final
class Phase(IntEnum):
    """How far a backend server has come; it never goes back."""

    READY = 0
    LEAVING = 1
    GONE = 2


@final
@dataclass(frozen=True, slots=True)
class BackendServer:
    """What is known of the backend server at one address.

    :param address: its address, reached from its own VM only.
    :param born_ms: Unix time of its start; orders incarnations at one address.
    :param sequence: number of the heartbeat that said so.
    :param slots: requests that it runs at once.
    :param warm_ms: Unix time from which it runs at full speed.
    """

    address: Address
    service: str
    instance: str
    born_ms: int
    sequence: int
    zone: str
    slots: int
    phase: Phase = Phase.READY
    warm_ms: int = 0


@final
@dataclass(frozen=True, slots=True)
class Job:
    """One request on its way to a backend server.

    :param request_id: unique for each attempt of a client.
    :param route: name of the route.
    :param caller: service on the VM where the request began.
    :param nested: whether a running request of a backend server made it.
    :param repeat: whether it, or the run that made it, may have run before.
    :param objective_at: time until which the answer is worth most.
    :param deadline: time after which the answer is worthless.
    """

    request_id: str
    route: str
    service: str
    caller: str
    rank: int
    repeatable: bool
    nested: bool
    repeat: bool
    objective_at: float
    deadline: float


@final
class NotRun(StrEnum):
    """Why a guard did not run a request."""

    BUSY = "busy"
    PRESSURE = "pressure"
    TOO_LATE = "too-late"
    LEAVING = "leaving"
    ABSENT = "absent"
    SHED = "shed"
    MOVED = "moved"
    UNREACHABLE = "unreachable"
    FORBIDDEN = "forbidden"


@final
@dataclass(frozen=True, slots=True)
class GuardLoad:
    """What a guard tells its callers with each answer.

    :param running: requests that its backend server works on.
    :param queued: requests that wait for a slot.
    :param limit: requests that it lets run at once.
    :param run_s: smoothed time of one run.
    :param pressure_s: expected wait of nested work here or further down.
    """

    running: int = 0
    queued: int = 0
    limit: int = 1
    run_s: float = 0.0
    pressure_s: float = 0.0
