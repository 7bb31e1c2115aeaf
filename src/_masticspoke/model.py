"""Core data classes: catalogue, members of services, and calls.

Every module works on these; :mod:`_masticspoke.border` turns them into bytes.
Times are seconds on the local monotonic clock unless a name says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import final


@final
@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@final
@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of work.

    :param name: the name that entries refer to.
    :param rank: 0 is the most urgent.
    :param floor_percent: share of each guard's limit kept for the class, 0 to 100.
    """

    name: str
    rank: int
    floor_percent: float = 0.0


@final
@dataclass(frozen=True, slots=True)
class Entry:
    """A catalogue entry: one kind of work, its owner, its class and its limits.

    :param kind: unique name of the kind of work.
    :param owner: team that answers for it.
    :param class_name: name of a :class:`ClassSpec`.
    :param rank: rank of that class.
    :param service: service that serves it.
    :param method: HTTP method that it matches.
    :param path: path that it matches; a trailing ``*`` matches any rest.
    :param deadline_ms: time that a client waits at most, in milliseconds.
    :param idempotent: whether running it twice is harmless.
    :param retries: retry allowance of one user action for its whole call tree.
    :param floor_percent: share of the class's floor kept for this entry, 0 to 100.
    :param limit_percent: most of a guard's limit that it may hold, 0 to 100.
    :param shed_last: whether it is shed after everything else.
    """

    kind: str
    owner: str
    class_name: str
    rank: int
    service: str
    method: str
    path: str
    deadline_ms: int
    idempotent: bool
    retries: int = 2
    floor_percent: float = 0.0
    limit_percent: float = 100.0
    shed_last: bool = False


@final
@dataclass(frozen=True, slots=True)
class Catalogue:
    """All entries in force.

    :param version: number of accepted changes; 0 means that none is known yet.
    :param classes: the classes, most urgent first.
    :param entries: the entries, in the order in which they are matched.
    """

    version: int = 0
    classes: tuple[ClassSpec, ...] = ()
    entries: tuple[Entry, ...] = ()


EMPTY_CATALOGUE = Catalogue()


@final
@dataclass(frozen=True, slots=True)
class Member:
    """A backend server together with the node beside it.

    :param service: service that the backend server offers.
    :param backend: address of the backend server.
    :param node: peer address of its node.
    :param zone: availability zone.
    :param incarnation: distinguishes successive processes at one address.
    :param slots: requests that it runs at once.
    :param connections: connections that it accepts.
    """

    service: str
    backend: Address
    node: Address
    zone: str
    incarnation: str
    slots: int
    connections: int


@final
@dataclass(frozen=True, slots=True)
class Call:
    """One call of one user action, as it travels from node to node.

    :param action: id of the user action; the same in its whole call tree.
    :param kind: kind of work of this call.
    :param service: service that serves this call.
    :param rank: rank of the root action's class.
    :param deadline: local monotonic time after which the answer is worthless.
    :param idempotent: whether running it twice is harmless.
    :param shed_last: whether it is shed after everything else.
    :param depth: 0 for the root call, one more at each hop.
    :param attempt: 0 for the first attempt of this call.
    :param allowance: retries lent to this call and its children.
    :param key: idempotency key given by the client, if any.
    :param catalogue_version: version that the sender acted on.
    :param crashes: backend servers that crashed while they ran it.
    """

    action: str
    kind: str
    service: str
    rank: int
    deadline: float
    idempotent: bool
    shed_last: bool = False
    depth: int = 0
    attempt: int = 0
    allowance: int = 0
    key: str | None = None
    catalogue_version: int = 0
    crashes: int = 0


@final
class Ran(StrEnum):
    """Whether a refused call was run."""

    NO = "no"
    UNKNOWN = "unknown"


@final
@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a guard tells its callers with each answer.

    :param in_flight: calls running and queued at the guard.
    :param limit: the guard's present concurrency limit.
    :param latency_s: smoothed time that its backend server takes.
    :param admitted_rank: highest rank number that the guard still admits.
    :param allowance_left: retries lent with the call that were not used.
    :param catalogue_version: version in force at the guard.
    :param leaving: whether the backend server takes no new work any more.
    """

    in_flight: int = 0
    limit: int = 1
    latency_s: float = 0.0
    admitted_rank: int = 1_000
    allowance_left: int = 0
    catalogue_version: int = 0
    leaving: bool = False


@final
@dataclass(frozen=True, slots=True)
class Trace:
    """Trace id and parent id of a W3C ``traceparent``, in lower-case hex."""

    trace_id: str
    parent_id: str


@final
@dataclass(frozen=True, slots=True)
class Loan:
    """Retries that a running call lent to one of its child calls.

    :param account: names the running call at its node.
    :param parent: the running call.
    :param amount: retries lent.
    :param request: names the child request, if a second send can be told.
    """

    account: Trace
    parent: Call
    amount: int
    request: int | None


@final
@dataclass(frozen=True, slots=True)
class RequestShape:
    """What classification reads of a request.

    :param method: HTTP method, upper case.
    :param path: path without the query.
    :param key: idempotency key, if given.
    :param deadline_ms: the client's own deadline, if given.
    :param trace: from ``traceparent``, if given.
    :param from_backend: whether the own backend server sent it.
    """

    method: str
    path: str
    key: str | None = None
    deadline_ms: int | None = None
    trace: Trace | None = None
    from_backend: bool = False


@final
@dataclass(frozen=True, slots=True)
class View:
    """Numbered membership of one service, agreed by the log's order.

    :param number: one more with each accepted membership record of the service.
    :param offset: log offset of the record that made it; -1 for the empty view.
    """

    service: str
    number: int = 0
    offset: int = -1
    members: tuple[Member, ...] = field(default=())
