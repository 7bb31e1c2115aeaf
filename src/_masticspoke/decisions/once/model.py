"""Data classes of the at-most-once protocol: records, events and effects.

A view is the numbered membership of a service. Each idempotency key of the service has
a home: the member that rendezvous hashing selects in the newest view. Running a key
means sending its request to a backend server. The home appends a claim to the log and
runs the key after it has read the claim back as valid. While the log is unavailable,
the home asks the other members to confirm the claim and runs the key after a majority
has confirmed it. A member keeps each claim that it confirmed until the log has it. On
reading a newer view, a member seals the earlier ones: it appends the claims that it
keeps and a promise to confirm no more claims in those views.
"""

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
    """Identity of a process at the peer address of a node.

    :param process: nonce that all incarnations of the process share, since the process
        keeps its memory when it joins again; see
        :mod:`_masticspoke.decisions.incarnation`.
    """

    node: Address
    process: str


# Stands for the writer if several homes have claimed a key: any of them may have run
# it, so none may run it now.
CONTESTED = Identity(Address("", 0), "")


def identity_of(member: Member) -> Identity:
    """Return the identity of the process behind a member of a view."""
    return identity_at(member.node, member.incarnation)


def identity_at(node: Address, incarnation: str) -> Identity:
    """Return the identity of the process with this incarnation at a node.

    If the incarnation has no nonce, its first field identifies the process.
    """
    started, _, rest = incarnation.partition("-")
    return Identity(node, rest.partition("-")[0] or started)


@final
@dataclass(frozen=True, slots=True)
class Claim:
    """Record: ``writer`` claims the right to run a key.

    :param digest: of service and key, see :func:`.placement.key_digest`.
    :param view: number of the view in which the writer is the key's home. The claim
        is valid in that view only, because the writer may not know which keys the homes
        in later views have run.
    """

    service: str
    digest: str
    writer: Identity
    view: int


@final
@dataclass(frozen=True, slots=True)
class KeptClaims:
    """Record: claims that members confirmed and that the log may not have."""

    service: str
    claims: tuple[Claim, ...]


@final
@dataclass(frozen=True, slots=True)
class Seal:
    """Record: ``member`` confirms no more claims in views up to number ``through``.

    All claims that the member confirmed in those views precede this record in the log.
    """

    service: str
    through: int
    member: Identity


OnceRecord = Claim | KeptClaims | Seal


@final
@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A response that is stored to answer later requests with the same key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@final
@dataclass(frozen=True, slots=True)
class Redirect:
    """Result: send the request to ``node``, which decides whether the key is run."""

    node: Address


Result = StoredAnswer | Refusal | Redirect


@final
@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a request with a key asks for the outcome, and for a run if none began.

    :param ticket: identifies the request in :class:`SendReply` and :class:`Run`.
    :param fingerprint: equal for requests with the same method, target and body.
    """

    ticket: int
    service: str
    digest: str
    fingerprint: int


@final
@dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """Event: the request no longer waits for a reply."""

    ticket: int
    digest: str


@final
@dataclass(frozen=True, slots=True)
class RecordsRead:
    """Event: views and records, in the log's order.

    All items were read from the log. A view from a peer does not count as read, nor
    does a record whose append was acknowledged.

    :param views_complete: whether all views up to the last record were read; if not,
        each claim is applied as one whose writer may have run the key.
    """

    items: tuple[View | OnceRecord, ...]
    views_complete: bool = True


@final
@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """Event: the claim's writer asks a member of its view to keep the claim."""

    claim: Claim


@final
@dataclass(frozen=True, slots=True)
class Confirmation:
    """Event: ``member`` keeps the claim, and had read no newer view when it agreed."""

    claim: Claim
    member: Identity


@final
@dataclass(frozen=True, slots=True)
class Answered:
    """Outcome: the run returned an answer."""

    answer: StoredAnswer


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Event: a run is over; a :class:`Refusal` says whether the request ran."""

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
    """Effect: reply to the request with this ticket."""

    ticket: int
    result: Result


@final
@dataclass(frozen=True, slots=True)
class Append:
    """Effect: append a record to the log; appending it twice is harmless."""

    record: OnceRecord


@final
@dataclass(frozen=True, slots=True)
class SendConfirmRequest:
    """Effect: ask another member to confirm a claim."""

    to: Identity
    request: ConfirmRequest


@final
@dataclass(frozen=True, slots=True)
class SendConfirmation:
    """Effect: send a confirmation to the claim's writer."""

    confirmation: Confirmation


@final
@dataclass(frozen=True, slots=True)
class Run:
    """Effect: run the request with this ticket and report :class:`RunEnded`."""

    digest: str
    ticket: int


OnceEffect = SendReply | Append | SendConfirmRequest | SendConfirmation | Run


@final
@dataclass(frozen=True, slots=True)
class OnceLimits:
    """Time and size limits of the protocol at one node.

    :param confirm_after_s: time from the first request with a key. If its claim was not
        read back from the log by then, the members of the view are asked to confirm it.
    :param retry_s: interval at which records and confirm requests are sent again.
    :param outage_limit_s: longest time without the log for which keys are run.
    :param key_lifetime_s: time for which a key is remembered. Clients must not send a
        key again after it, and the log must retain records that long.
    :param answer_ttl_s: time for which answers are stored.
    :param answers_bytes: size limit of all stored answers together.
    :param max_keys: largest number of keys that the node holds as their home, and of
        claims that it keeps; each is counted separately.
    :param expiry_interval_s: interval between scans for expired keys and claims.
    """

    confirm_after_s: float = 0.5
    retry_s: float = 1.0
    outage_limit_s: float = 3_600.0
    key_lifetime_s: float = 86_400.0
    answer_ttl_s: float = 600.0
    answers_bytes: int = 8_000_000
    max_keys: int = 50_000
    expiry_interval_s: float = 60.0


@final
@dataclass(slots=True)
class OpenView:
    """An earlier view in which claims may still be confirmed.

    :param expires_at: time after which no client repeats a key that was run in it.
    :param seals: members that confirm no more claims in it.
    """

    view: View
    expires_at: float
    seals: set[Identity] = field(default_factory=set)
