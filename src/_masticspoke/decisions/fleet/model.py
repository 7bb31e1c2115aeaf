"""Data classes for routes, backend servers, and the requests sent to them.

A guard is the admission control of a node for its local backend server. Points in time
are seconds on the VM's boot clock; names ending in ``_ms`` are Unix time in
milliseconds.
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
    """The share of a route's requests that goes to one service.

    :param weight: relative to the other weights of the route.
    """

    service: str
    weight: float


@final
@dataclass(frozen=True, slots=True)
class Route:
    """Requests with one host and path prefix, and the services that answer them.

    :param prefix: path prefix that begins and ends with a slash.
    :param idempotent: whether a request may run more than once.
    :param timeout_s: time after which a request without an answer fails.
    :param objective_s: target latency of the answer.
    :param rank: priority; 0 is the most urgent.
    :param max_attempts: largest number of sends that reach a backend server.
    :param public: whether its requests need no key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    rank: int
    max_attempts: int
    shares: tuple[Share, ...]
    public: bool = False


@final
@dataclass(frozen=True, slots=True)
class Organisation:
    """One of the customers that share the fleet.

    :param rank: priority of its requests, which replaces the route's; ``None`` if it
        has none.
    :param rate_per_s: requests a second that all nodes together may run; 0 for no
        limit.
    :param burst: requests beyond the rate that may run at once.
    """

    name: str
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@final
@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """Bound on the requests of one organisation that run at all nodes together.

    In any window they number at most (rate x window + burst) x (1 + overshoot) +
    tolerance.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    tolerance: float = 20.0


@final
@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests and connections of a listener.

    :param header_timeout_s: longest time in which the headers of a request arrive; the
        body has no such limit.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@final
@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration in force.

    :param version: never decreases within one process.
    :param routes: routes by host and prefix.
    :param health_paths: path of the health check by service.
    :param organisations: organisation by key; ``None`` if requests need no keys.
    :param organisation_by_name: the same organisations by name.
    :param services: names of all services.
    """

    version: int
    routes: Mapping[tuple[str, str], Route]
    health_paths: Mapping[str, str] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    organisations: Mapping[str, Organisation] | None = None
    organisation_by_name: Mapping[str, Organisation] = field(
        init=False, repr=False, compare=False
    )
    services: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the organisations, as nested requests name them, and the services."""
        organisations = (self.organisations or {}).values()
        by_name = {organisation.name: organisation for organisation in organisations}
        object.__setattr__(self, "organisation_by_name", by_name)
        shares = (share for r in self.routes.values() for share in r.shares)
        services = {share.service for share in shares}.union(self.health_paths)
        object.__setattr__(self, "services", frozenset(services))


def limits_of(configuration: Configuration | None) -> Limits:
    """Return the limits in force, or the defaults without a configuration."""
    return Limits() if configuration is None else configuration.limits


@final
class Phase(IntEnum):
    """Phase of one incarnation of a backend server; it never decreases."""

    READY = 0
    LEAVING = 1
    GONE = 2


@final
@dataclass(frozen=True, slots=True)
class BackendServer:
    """State of the backend server at one address.

    :param address: address to which only processes on its own VM connect.
    :param born_ms: Unix time of its start; orders incarnations at one address; 0 if it
        reported none.
    :param sequence: number of the heartbeat that reported this state.
    :param slots: largest number of requests that it runs concurrently.
    :param warm_ms: Unix time at which its warm-up ends; 0 if it reported none.
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
    """One request to be run by a backend server.

    :param request_id: unique for each attempt of a client.
    :param route: name of the route.
    :param caller: service of the backend server on the entry node's VM.
    :param nested: whether a request that runs at a backend server made it.
    :param is_retry: whether an earlier send may have reached a backend server, or the
        run that made the request is a retry.
    :param objective_at: time at which the route's target latency is over.
    :param deadline: time after which the answer is useless.
    :param organisation: name of the organisation that it runs for; that of the parent
        run if it is nested; empty if there is none.
    """

    request_id: str
    route: str
    service: str
    caller: str
    rank: int
    idempotent: bool
    nested: bool
    is_retry: bool
    objective_at: float
    deadline: float
    organisation: str = ""


@final
class NotRun(StrEnum):
    """Why a request was not run, as written to logs and headers."""

    BUSY = "busy"
    PRESSURE = "pressure"
    TOO_LATE = "too-late"
    LEAVING = "leaving"
    ABSENT = "absent"
    SHED = "shed"
    MOVED = "moved"
    UNREACHABLE = "unreachable"
    FORBIDDEN = "forbidden"
    QUARANTINED = "quarantined"


# Bounds on the slowdown of a backend server that is believed.
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 20.0


@final
@dataclass(frozen=True, slots=True)
class BackendNotice:
    """What a backend server says of itself with an answer.

    :param rate_limit: requests a second that it takes from all nodes together, as long
        as its answers name it; ``None`` if this one names none.
    :param unreadable: a limit that is not a decimal number; empty if there is none.
    :param leaving: whether it is leaving.
    :param slowdown: how many times longer than usual work takes on its VM now; ``None``
        if it does not say.
    """

    rate_limit: float | None = None
    unreadable: str = ""
    leaving: bool = False
    slowdown: float | None = None


@final
@dataclass(frozen=True, slots=True)
class GuardLoad:
    """Load that a guard reports with each answer.

    :param running: requests that its backend server is running.
    :param queued: requests that wait for a slot.
    :param limit: largest number of requests that it runs concurrently.
    :param run_s: smoothed duration of a run.
    :param pressure_s: expected wait of nested requests at this backend server, plus
        the highest mean pressure of a service that it called recently.
    :param slowdown: how many times longer than usual work takes at its backend server
        now.
    """

    running: int = 0
    queued: int = 0
    limit: int = 1
    run_s: float = 0.0
    pressure_s: float = 0.0
    slowdown: float = 1.0
