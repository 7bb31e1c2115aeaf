"""Messages that tasks exchange through their mailboxes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import final

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.once.model import Answered
from _masticspoke.decisions.once.model import ConfirmAsked
from _masticspoke.decisions.once.model import Confirmed
from _masticspoke.decisions.once.model import Elsewhere
from _masticspoke.decisions.once.model import StoredAnswer
from _masticspoke.decisions.retry import Attempt
from _masticspoke.decisions.suspects import SuspectNews
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.model import LoadReport
from _masticspoke.model import Loan
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
    """The stream ``members`` was read on; its records follow as :class:`LogRecords`.

    :param views: views that came into force, in the log's order; all of them after
        missed records. The view at an offset is the newest one made up to it.
    :param read_through: offset of the last record read of the stream.
    """

    views: tuple[View, ...]
    read_through: int


@final
@dataclass(frozen=True, slots=True)
class Announce:
    """Entry to keeper: the own backend server announced or renewed itself.

    :param member: without an incarnation of the node.
    :param reply: why the announcement is refused, or ``None``.
    """

    member: Member
    ttl_s: float
    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class BackendAnnounced:
    """The own backend server takes work, under this incarnation."""

    member: Member
    ttl_s: float


@final
@dataclass(frozen=True, slots=True)
class Resend:
    """A task to the keeper: publish what is in force again, this task starts anew."""


@final
@dataclass(frozen=True, slots=True)
class BackendLeaving:
    """The own backend server takes no new work any more."""


@final
@dataclass(frozen=True, slots=True)
class Target:
    """Where the next attempt of a call goes.

    :param attempt: the call as it is to be sent, and what came before.
    :param member: the chosen backend server and its node.
    :param own: whether it is the own backend server.
    :param wait_s: pause before it is sent.
    """

    attempt: Attempt
    member: Member
    own: bool
    wait_s: float = 0.0

    @property
    def call(self) -> Call:
        """The call as it is to be sent."""
        return self.attempt.call


@final
@dataclass(frozen=True, slots=True)
class Begin:
    """Entry to router: classify a request and choose its first target.

    :param loan: from the running call that it is a child of.
    """

    shape: RequestShape
    loan: Loan | None
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Entry to router: an attempt was refused; retry or give up?

    :param report: from the guard, if it answered.
    :param returned: retries that came back with the refusal.
    :param waited_s: time from sending to the refusal.
    :param resendable: whether the request can be sent a second time.
    """

    target: Target
    refusal: Refusal
    report: LoadReport | None
    returned: int
    waited_s: float
    resendable: bool
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class Resume:
    """Home to router: choose the first target of a call classified elsewhere."""

    call: Call
    reply: Reply[Target | Refusal]


@final
@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Entry to router: an attempt was answered, or abandoned.

    :param answered_at: when the answer's head came; ``None`` when the caller went
        away first.
    :param latency_s: time from sending to the answer's head or to the end.
    """

    target: Target
    report: LoadReport | None
    answered_at: float | None
    latency_s: float


@final
@dataclass(frozen=True, slots=True)
class CallEnded:
    """Entry to router: a root call is over.

    :param unused: retries of its allowance that are left.
    :param refused: whether it ended with a refusal.
    """

    call: Call
    unused: int
    refused: bool


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
    :param head_s: time to the head of the answer, when it is known apart.
    """

    ticket: int
    latency_s: float
    crashed: bool
    head_s: float | None = None


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
class RunStarted:
    """Guard to runs: a call is about to be sent to the backend server."""

    trace: Trace
    call: Call


@final
@dataclass(frozen=True, slots=True)
class Settle:
    """Guard to runs: a call was answered; how much of its allowance is left?"""

    trace: Trace
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class RunEnded:
    """Guard to runs: a call does not run any more."""

    trace: Trace


@final
class RunEnd(Enum):
    """How a run ended, as far as suspicion goes.

    ``LEFT`` runs were cancelled: the backend server may still work on them. Nothing
    is learnt of ``NOT_RUN`` ones, nor of those that broke off.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    LEFT = "left"


@final
@dataclass(frozen=True, slots=True)
class RequestSent:
    """Guard to suspects: the backend server is about to get a request."""

    trace: Trace
    fingerprint: int


@final
@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Guard to suspects: the backend server is done with a request."""

    trace: Trace
    end: RunEnd


@final
@dataclass(frozen=True, slots=True)
class RequestBroken:
    """Guard to suspects: the backend server broke a request's connection.

    :param down: whether it accepts no connection any more.
    :param reply: answered when the other guards were told.
    """

    trace: Trace
    down: bool
    reply: Reply[None]


@final
@dataclass(frozen=True, slots=True)
class AskTurn:
    """Guard to suspects: may this suspect run?

    :param crashes: backend servers that the caller saw crash.
    :param reply: ``None`` when it may run, perhaps after a wait.
    """

    fingerprint: int
    crashes: int
    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class EndTurn:
    """Guard to suspects: a suspect has run, or its caller went away."""

    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class SuspectsTold:
    """From another guard of the service; ``ttl_s`` of each is what is left of it."""

    suspects: tuple[SuspectNews, ...]


@final
@dataclass(frozen=True, slots=True)
class SpreadSuspects:
    """Suspects to their sender: tell these guards.

    :param reply: answered when each was told or did not answer in time.
    """

    nodes: tuple[Address, ...]
    suspects: tuple[SuspectNews, ...]
    reply: Reply[None] | None


@final
@dataclass(frozen=True, slots=True)
class Lend:
    """Entry to runs: which running call sent this request, and what may it use?

    :param request: names the child request, if a second send can be told.
    """

    trace: Trace
    request: int | None
    reply: Reply[Loan | Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class Borrow:
    """Entry to runs: one more retry for a child call, if there is one."""

    loan: Loan
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class GiveBack:
    """Entry to runs: a child call is over, and this is what it did not use."""

    loan: Loan
    unused: int
    refused: bool


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
    """Log reader to keeper, and keeper to claims: what one read of a stream gave.

    :param records: in offset order.
    :param oldest_offset: oldest offset that the log still retains.
    :param at_end: whether the stream had no further record.
    """

    stream: str
    records: tuple[LogRecord, ...]
    oldest_offset: int = 0
    at_end: bool = True


@final
@dataclass(frozen=True, slots=True)
class AskPosition:
    """Log reader to keeper: from which offset is the stream to be read on?"""

    stream: str
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class LogHealth:
    """Log reader or writer to keeper: whether the log answered.

    :param source: name of the task.
    :param fault: what went wrong; ``""`` when the log answered.
    """

    source: str
    fault: str = ""


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


@final
@dataclass(frozen=True, slots=True)
class NodeStopping:
    """The node stops: its backend server leaves and can't announce itself again."""


@final
@dataclass(frozen=True, slots=True)
class PeerNews:
    """From another node: hints, and perhaps its catalogue."""

    hints: tuple[Hint, ...] = ()
    catalogue: CatalogueState | None = None


@final
@dataclass(frozen=True, slots=True)
class PeersAsked:
    """Gossip to keeper: every known peer was asked for its catalogue once."""


@final
@dataclass(frozen=True, slots=True)
class MemberSilent:
    """Gossip to keeper: two nodes found a member silent."""

    node: Address
    incarnation: str


@final
@dataclass(frozen=True, slots=True)
class Digest:
    """What a node tells another one in each gossip exchange.

    :param sender: peer address of the node that tells.
    :param catalogue_version: version in force there.
    :param checksum: of all its hints.
    :param news: hints that changed lately.
    """

    sender: Address
    catalogue_version: int
    checksum: int
    news: tuple[Hint, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class AskDigest:
    """Gossip to keeper: what is to be told to another node?"""

    reply: Reply[Digest]


@final
@dataclass(frozen=True, slots=True)
class Knowledge:
    """All that a node knows of the catalogue and the members."""

    catalogue: CatalogueState
    hints: tuple[Hint, ...]


@final
@dataclass(frozen=True, slots=True)
class AskKnowledge:
    """Anyone to keeper: what do you know?"""

    reply: Reply[Knowledge]


@final
@dataclass(frozen=True, slots=True)
class AskReady:
    """Listener to keeper: answer once catalogue and members may be acted on."""

    reply: Reply[None]


@final
@dataclass(frozen=True, slots=True)
class PeerAhead:
    """To gossip: a node acts on a higher catalogue version or knows other members."""

    node: Address


@final
@dataclass(frozen=True, slots=True)
class Granted:
    """Home's answer: run the request now, and tell :class:`KeyEnded`."""


KeyResult = StoredAnswer | Refusal | Elsewhere | Granted


@final
@dataclass(frozen=True, slots=True)
class AskKey:
    """Request's task to home: the outcome of a key, or the right to run it.

    :param digest: of service and key.
    :param fingerprint: the same for the same method, path and body.
    """

    service: str
    digest: str
    fingerprint: int
    reply: Reply[KeyResult]


@final
@dataclass(frozen=True, slots=True)
class KeyAbandoned:
    """Request's task to home: nobody waits for this reply; nothing was run for it."""

    reply: Reply[KeyResult]


@final
@dataclass(frozen=True, slots=True)
class KeyEnded:
    """Request's task to home: the run that this reply granted is over."""

    reply: Reply[KeyResult]
    outcome: Answered | Refusal


@final
@dataclass(frozen=True, slots=True)
class KeepClaims:
    """Peer port to home: another home asks to keep its claims."""

    questions: tuple[ConfirmAsked, ...]
    reply: Reply[tuple[Confirmed, ...]]
