"""Core data classes: catalogue, members of services, and calls.

All modules use them; :mod:`_masticspoke.border` encodes and decodes them. Times are
seconds on the local monotonic clock unless the name has another unit.
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

    :param name: name by which entries refer to the class.
    :param rank: 0 is the most urgent.
    :param floor_percent: share of each guard's limit reserved for it, 0 to 100.
    """

    name: str
    rank: int
    floor_percent: float = 0.0


@final
@dataclass(frozen=True, slots=True)
class Entry:
    """A catalogue entry: one kind of work, its owner, its class and its limits.

    :param kind: unique name of the kind of work.
    :param owner: team that is responsible for it.
    :param class_name: name of a :class:`ClassSpec`.
    :param rank: rank of that class.
    :param service: service that serves it.
    :param method: HTTP method that it matches.
    :param path: path that it matches; a trailing ``*`` matches any rest.
    :param deadline_ms: longest time that a client waits, in milliseconds.
    :param idempotent: whether it may run twice without harm.
    :param retries: retry allowance of one user action for its whole call tree.
    :param floor_percent: share of the class's floor reserved for it, 0 to 100.
    :param limit_percent: largest share of a guard's limit that it may use, 0 to 100.
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

    :param version: number of accepted changes; 0 while no catalogue is known.
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
    :param slots: number of requests that it runs concurrently.
    :param connections: number of connections that it accepts.
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
    """One call of a user action, as nodes pass it on.

    :param action: id of the user action; the same in its whole call tree.
    :param kind: kind of work of this call.
    :param service: service that serves this call.
    :param rank: rank of the root call's class.
    :param deadline: time after which its answer is of no use.
    :param idempotent: whether it may run twice without harm.
    :param shed_last: whether it is shed after everything else.
    :param depth: 0 for the root call, one more at each hop.
    :param attempt: 0 for the first attempt of this call.
    :param allowance: retries lent to this call and its children.
    :param key: idempotency key given by the client, if any.
    :param catalogue_version: catalogue version that the sender used.
    :param crashes: number of backend servers that crashed while they ran it.
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
    """Whether a refused call may have run at a backend server."""

    NO = "no"
    UNKNOWN = "unknown"


@final
@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a guard, reported to its callers with each answer.

    :param in_flight: calls running and queued at the guard.
    :param limit: the guard's current concurrency limit.
    :param latency_s: smoothed time to the head of the backend server's answers.
    :param admitted_rank: highest rank number that the guard still admits.
    :param allowance_left: unused retries of the call.
    :param catalogue_version: catalogue version in force at the guard.
    :param leaving: whether the backend server no longer takes new work.
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
    """Retries that a running call lent to one of its nested calls.

    :param account: trace of the running call; identifies its account of retries.
    :param parent: the running call.
    :param amount: number of retries lent.
    :param request: fingerprint of the nested request; ``None`` if a repeated send
        can't be distinguished from another request.
    """

    account: Trace
    parent: Call
    amount: int
    request: int | None


@final
@dataclass(frozen=True, slots=True)
class RequestShape:
    """Properties of a request that classification uses.

    :param method: HTTP method, upper case.
    :param path: path without the query.
    :param key: idempotency key, if given.
    :param deadline_ms: the client's own deadline, if given.
    :param trace: trace from ``traceparent``, if given.
    :param from_backend: whether the local backend server sent it.
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
    """Numbered membership of one service, as the order of the log determines it.

    :param number: one more with each accepted membership record of the service.
    :param offset: log offset of the record that created it; -1 for the empty view.
    """

    service: str
    number: int = 0
    offset: int = -1
    members: tuple[Member, ...] = field(default=())
