"""Messages to and from the tasks that exchange the catalogue and the members.

The keeper owns both at this node. The log readers and the log writer connect it to the
log service, and gossip connects it to other nodes.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.hints import Hint
from _masticspoke.messages.log import LogRecord
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
    """Keeper to its subscribers: a catalogue version came into force at this node."""

    catalogue: Catalogue


@final
@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Keeper to its subscribers: the members that take work have changed.

    :param members: all members of all services that are known to take work.
    """

    members: tuple[Member, ...]


@final
@dataclass(frozen=True, slots=True)
class ViewsChanged:
    """Keeper to home: views after a read of the stream ``members``.

    The records themselves follow as :class:`LogRecords`.

    :param views: views that came into force, in the log's order; all views if records
        were missed. The view at an offset is the newest one created up to it.
    :param read_through: offset of the last record read from the stream.
    """

    views: tuple[View, ...]
    read_through: int


@final
@dataclass(frozen=True, slots=True)
class Announce:
    """Backend listener to keeper: announcement of the backend server, or its renewal.

    :param member: the backend server, without an incarnation.
    :param ttl_s: seconds until the announcement lapses.
    :param reply: why the announcement is refused, or ``None``.
    """

    member: Member
    ttl_s: float
    reply: Reply[Refusal | None]


@final
@dataclass(frozen=True, slots=True)
class BackendAnnounced:
    """Keeper to gate and suspects: this node's backend server accepts work.

    :param member: the backend server with its incarnation.
    :param ttl_s: seconds until the announcement lapses.
    """

    member: Member
    ttl_s: float


@final
@dataclass(frozen=True, slots=True)
class Resend:
    """Starting task to keeper: publish catalogue, members and backend server again."""


@final
@dataclass(frozen=True, slots=True)
class BackendLeaving:
    """Backend listener to keeper, and keeper to gate: no new work.

    The backend server is leaving or stopped renewing its announcement, or the node is
    stopping.
    """


@final
@dataclass(frozen=True, slots=True)
class LogRecords:
    """Log reader to keeper, and keeper to home: result of one read of a stream.

    The keeper forwards reads of the stream ``members`` only.

    :param records: the records in offset order.
    :param oldest_offset: oldest offset that the log retains.
    :param at_end: whether the read found no further record in the stream.
    """

    stream: str
    records: tuple[LogRecord, ...]
    oldest_offset: int = 0
    at_end: bool = True


@final
@dataclass(frozen=True, slots=True)
class AskPosition:
    """Log reader to keeper: return the offset at which the next read starts."""

    stream: str
    reply: Reply[int]


@final
@dataclass(frozen=True, slots=True)
class LogHealth:
    """Log reader or writer to keeper: whether the log answered.

    The keeper forwards failures to the metrics recorder.

    :param source: name of the reporting task.
    :param fault: description of the failure; empty if the log answered.
    """

    source: str
    fault: str = ""


@final
@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Keeper or home to log writer: append a record, and retry until it is stored."""

    stream: str
    data: bytes


@final
@dataclass(frozen=True, slots=True)
class NodeStatus:
    """Status of a node, as a status request returns it.

    :param catalogue_version: catalogue version in force; 0 while none is.
    :param members: members of all services that accept work.
    :param report: always the default report, because the keeper has no load data.
    """

    catalogue_version: int
    members: tuple[Member, ...]
    report: LoadReport


@final
@dataclass(frozen=True, slots=True)
class AskStatus:
    """Peer listener to keeper: return the status of this node."""

    reply: Reply[NodeStatus]


@final
@dataclass(frozen=True, slots=True)
class NodeStopping:
    """Departure to keeper: the node stops.

    The keeper marks the backend server as leaving and refuses new announcements.
    """


@final
@dataclass(frozen=True, slots=True)
class PeerUpdate:
    """Gossip or peer listener to keeper: hints or the catalogue of another node.

    :param hints: states of members; older ones than the keeper's are ignored.
    :param catalogue: ``None`` if only hints were received.
    """

    hints: tuple[Hint, ...] = ()
    catalogue: CatalogueState | None = None


@final
@dataclass(frozen=True, slots=True)
class PeersAsked:
    """Gossip to keeper: digests were exchanged with another node for the first time.

    The updates of this exchange are sent before this message.
    """


@final
@dataclass(frozen=True, slots=True)
class MemberSilent:
    """Gossip to keeper: a member answers neither this node nor a second node."""

    node: Address
    incarnation: str


@final
@dataclass(frozen=True, slots=True)
class Digest:
    """Summary that a node sends in each gossip exchange.

    :param sender: peer address of the sending node.
    :param catalogue_version: highest catalogue version that the sender has received.
    :param checksum: equal for nodes with the same members that take work.
    :param updates: hints that changed recently at the sender.
    """

    sender: Address
    catalogue_version: int
    checksum: int
    updates: tuple[Hint, ...] = ()


@final
@dataclass(frozen=True, slots=True)
class AskDigest:
    """Gossip or peer listener to keeper: return the digest to send to another node."""

    reply: Reply[Digest]


@final
@dataclass(frozen=True, slots=True)
class KeeperSnapshot:
    """Catalogue and all hints of members held by the keeper."""

    catalogue: CatalogueState
    hints: tuple[Hint, ...]


@final
@dataclass(frozen=True, slots=True)
class AskKeeperSnapshot:
    """Peer listener to keeper: return the catalogue and all hints."""

    reply: Reply[KeeperSnapshot]


@final
@dataclass(frozen=True, slots=True)
class AskReady:
    """Client listener to keeper: reply once catalogue and members may be used."""

    reply: Reply[None]


@final
@dataclass(frozen=True, slots=True)
class PeerAhead:
    """Peer listener to gossip: another node has received a higher catalogue version.

    :param node: peer address of that node.
    """

    node: Address
