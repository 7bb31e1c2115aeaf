"""Data classes of the at-most-once protocol: records, events and effects."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.model import View
from _masticspoke.refusals import Refusal


@final
@dataclass(frozen=True, slots=True, order=True)
class Identity:
    """One process: the peer address of a node and what tells its processes apart.

    :param process: the same for all incarnations of one process, since it keeps its
        memory when it joins again; see :mod:`_masticspoke.decisions.incarnation`.
    """

    node: Address
    process: str


# Stands for the writer of a key that two homes claimed: neither may run it now.
CONTESTED = Identity(Address("", 0), "")


def identity_of(member: Member) -> Identity:
    """Return the process that a member of a view stands for."""
    return identity_at(member.node, member.incarnation)


def identity_at(node: Address, incarnation: str) -> Identity:
    """Return the process that has an incarnation at a node's address."""
    started, _, rest = incarnation.partition("-")
    return Identity(node, rest.partition("-")[0] or started)


@final
@dataclass(frozen=True, slots=True)
class Claim:
    """Record: ``writer`` wants the right to run a key.

    :param digest: of service and key, see :func:`.placement.key_digest`.
    :param view: number of the view in which the writer is the key's home; what the
        writer knows of other homes ends with that view.
    """

    service: str
    digest: str
    writer: Identity
    view: int


@final
@dataclass(frozen=True, slots=True)
class KeptClaims:
    """Record: claims that a member confirmed and that the log may not have."""

    service: str
    claims: tuple[Claim, ...]


@final
@dataclass(frozen=True, slots=True)
class Seal:
    """Record: ``member`` confirms nothing any more in views up to ``through``.

    All claims that it ever confirmed in them precede this record in the log.
    """

    service: str
    through: int
    member: Identity


OnceRecord = Claim | KeptClaims | Seal


@final
@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that can be given again."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class Redirect:
    """Result: another node decides about the key."""

    node: Address


Result = StoredAnswer | Refusal | Redirect


@final
@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: somebody wants the outcome of a key, and a run if there was none.

    :param ticket: names the asker in :class:`Reply` and :class:`Run`.
    :param fingerprint: the same for the same method, path and body.
    """

    ticket: int
    service: str
    digest: str
    fingerprint: int


@final
@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """Event: the asker no longer waits."""

    ticket: int
    digest: str


@final
@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Event: views and records, in the log's order.

    Only what was read from the log itself may be put in here.

    :param views_known: whether all views up to the last record were read; if not,
        a claim is taken for one that may count.
    """

    items: tuple[View | OnceRecord, ...]
    views_complete: bool = True


@final
@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """Event: the home ``writer`` asks a member of its view to keep a claim."""

    claim: Claim


@final
@dataclass(frozen=True, slots=True)
class Confirmation:
    """Event: ``member`` keeps the claim for a key and knows no newer view."""

    claim: Claim
    member: Identity


@final
@dataclass(frozen=True, slots=True)
class Answered:
    """Outcome: the run was answered."""

    answer: StoredAnswer


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Event: a run is over; a :class:`Refusal` says whether it ran."""

    digest: str
    outcome: Answered | Refusal


@final
@dataclass(frozen=True, slots=True)
class Tick:
    """Event: time has passed."""


OnceEvent = (
    RequestArrived
    | RequestWithdrawn
    | RecordsRead
    | ConfirmRequest
    | Confirmation
    | RunEnded
    | Tick
)


@final
@dataclass(frozen=True, slots=True)
class SendReply:
    """Effect: tell the asker with this ticket."""

    ticket: int
    result: Result


@final
@dataclass(frozen=True, slots=True)
class Append:
    """Effect: append a record; it may be appended twice."""

    record: OnceRecord


@final
@dataclass(frozen=True, slots=True)
class SendConfirmRequest:
    """Effect: send the question to another member."""

    to: Identity
    request: ConfirmRequest


@final
@dataclass(frozen=True, slots=True)
class SendConfirmation:
    """Effect: answer the question of the claim's writer."""

    confirmation: Confirmation


@final
@dataclass(frozen=True, slots=True)
class Run:
    """Effect: run the request of this ticket now, and report :class:`RunEnded`."""

    digest: str
    ticket: int


OnceEffect = SendReply | Append | SendConfirmRequest | SendConfirmation | Run


@final
@dataclass(frozen=True, slots=True)
class OnceLimits:
    """Times in seconds and bounds of one node.

    :param confirm_after_s: a claim that the log has not shown by then is put to
        the members of the view.
    :param retry_s: pause before records and questions are sent again.
    :param outage_limit_s: longest time without the log for which keys are run.
    :param key_lifetime_s: time for which a key is remembered; clients must not
        send a key again after it, and the log must retain records that long.
    :param answer_ttl_s: time for which answers are stored.
    :param answers_bytes: most bytes of stored answers.
    :param max_keys: most keys that the node holds as their home.
    :param forget_every_s: pause between searches for keys to forget.
    """

    confirm_after_s: float = 0.5
    retry_s: float = 1.0
    outage_limit_s: float = 3_600.0
    key_lifetime_s: float = 86_400.0
    answer_ttl_s: float = 600.0
    answers_bytes: int = 8_000_000
    max_keys: int = 50_000
    forget_every_s: float = 60.0


@final
@dataclass(slots=True)
class OpenView:
    """An earlier view in which keys may still be confirmed.

    :param expires_at: after that time no client sends a key again that was run in it.
    :param seals: members known to confirm nothing more in it.
    """

    view: View
    expires_at: float
    seals: set[Identity] = field(default_factory=set)
