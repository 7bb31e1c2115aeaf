"""Messages that tasks exchange through their mailboxes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.model import LoadReport
from _masticspoke.model import Member
from _masticspoke.model import RequestShape
from _masticspoke.model import Trace
from _masticspoke.model import View
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.mailbox import Reply


@final
@dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """A catalogue version came into force at this node."""

    catalogue: Catalogue


@final
@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members of all services that this node knows."""

    members: tuple[Member, ...]


@final
@dataclass(frozen=True, slots=True)
class ViewsChanged:
    """Views that came into force by records read from the log.

    :param read_through: offset of the last record read of their stream.
    """

    views: tuple[View, ...]
    read_through: int


@final
@dataclass(frozen=True, slots=True)
class BackendAnnounced:
    """The own backend server announced or renewed itself."""

    member: Member
    ttl_s: float


@final
@dataclass(frozen=True, slots=True)
class BackendLeaving:
    """The own backend server takes no new work any more."""


@final
@dataclass(frozen=True, slots=True)
class Target:
    """Where the next attempt of a call goes.

    :param call: the call as it is to be sent.
    :param member: the chosen backend server and its node.
    :param own: whether it is the own backend server.
    """

    call: Call
    member: Member
    own: bool


@final
@dataclass(frozen=True, slots=True)
class Begin:
    """Entry to router: classify a request and choose its first target."""

    shape: RequestShape
    parent: Call | None
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Entry to router: an attempt was refused; retry or give up?"""

    target: Target
    refusal: Refusal
    report: LoadReport | None
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Entry to router: an attempt was answered, or abandoned.

    :param latency_s: time from sending to the answer's head; ``None`` when the
        caller went away first.
    """

    target: Target
    report: LoadReport | None
    latency_s: float | None


@final
@dataclass(frozen=True, slots=True)
class Admitted:
    """Guard's answer: run the call now, at this backend server.

    :param ticket: names this run in :class:`Finished`.
    :param trace: given to the backend server, to tie child calls to this one.
    """

    ticket: int
    backend: Address
    trace: Trace
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Guard's answer: the call does not run here."""

    refusal: Refusal
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class Admit:
    """Listener to gate: may this call run? The reply may come after queueing."""

    call: Call
    fingerprint: int
    reply: Reply[Admitted | NotAdmitted]


@final
@dataclass(frozen=True, slots=True)
class Finished:
    """Listener to gate: a run ended.

    :param crashed: the backend server broke the connection or refused it.
    """

    ticket: int
    latency_s: float
    crashed: bool


@final
@dataclass(frozen=True, slots=True)
class Withdrawn:
    """Listener to gate: the caller of a queued call went away."""

    reply: Reply[Admitted | NotAdmitted]


@final
@dataclass(frozen=True, slots=True)
class Report:
    """Anyone to gate: the present load."""

    reply: Reply[LoadReport]


@final
@dataclass(frozen=True, slots=True)
class FindParent:
    """Entry to gate: which running call does this trace belong to?"""

    trace: Trace
    reply: Reply[Call | None]


@final
@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record read from a stream of the log."""

    stream: str
    offset: int
    data: bytes


@final
@dataclass(frozen=True, slots=True)
class LogRecords:
    """Log reader to keepers: records in offset order."""

    records: tuple[LogRecord, ...]


@final
@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Keeper to log writer: append this, again and again until it is in."""

    stream: str
    data: bytes


@final
@dataclass(frozen=True, slots=True)
class NodeStatus:
    """What a node says of itself."""

    catalogue_version: int
    members: tuple[Member, ...]
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class AskStatus:
    """Anyone to the keeper: what do you know?"""

    reply: Reply[NodeStatus]
