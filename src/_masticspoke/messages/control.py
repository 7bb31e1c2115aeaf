"""Messages to and from the control branch: log, catalogue, members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.hints import Hint
from _masticspoke.model import Address
from _masticspoke.model import Catalogue
from _masticspoke.model import LoadReport
from _masticspoke.model import Member
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
class PeerUpdate:
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
    :param updates: hints that changed lately.
    """

    sender: Address
    catalogue_version: int
    checksum: int
    updates: tuple[Hint, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class AskDigest:
    """Gossip to keeper: what is to be told to another node?"""

    reply: Reply[Digest]


@final
@dataclass(frozen=True, slots=True)
class KeeperSnapshot:
    """All that a node knows of the catalogue and the members."""

    catalogue: CatalogueState
    hints: tuple[Hint, ...]


@final
@dataclass(frozen=True, slots=True)
class AskKeeperSnapshot:
    """Anyone to keeper: what do you know?"""

    reply: Reply[KeeperSnapshot]


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
