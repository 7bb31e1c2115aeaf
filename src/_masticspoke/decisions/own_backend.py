"""Decide what the own backend server's announcements mean for its membership."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import joined
from _masticspoke.decisions.incarnation import next_incarnation
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembersState
from _masticspoke.model import Address
from _masticspoke.model import Catalogue
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

REPEAT_S = 5.0


@final
@dataclass(frozen=True, slots=True)
class OwnBackend:
    """The own backend server, as it announced itself.

    :param node: peer address of this node.
    :param incarnation: newest one in use at this node.
    :param announced: the last announcement, without an incarnation of the node.
    :param member: with the node's incarnation; ``None`` when it takes no work.
    :param left: the announcement that was withdrawn last.
    :param expires: time at which the announcement lapses.
    :param told: last record given to the log writer.
    :param told_at: when; a record that is not in the log yet is given again after
        :data:`REPEAT_S`.
    """

    node: Address
    incarnation: str
    announced: Member | None = None
    member: Member | None = None
    left: Member | None = None
    expires: float = 0.0
    told: Joined | Left | None = None
    told_at: float = 0.0


def refuse_announcement(
    catalogue: Catalogue, member: Member, *, stopping: bool
) -> Refusal | None:
    """Return why an announcement is refused, or ``None``.

    While no catalogue is known, every service may turn out to be in it.
    """
    if stopping:
        return Refusal(Reason.STOPPING, detail="this node is stopping")
    version = catalogue.version
    if version == 0 or member.service in {e.service for e in catalogue.entries}:
        return None
    detail = f"service {member.service} has no entry in catalogue version {version}"
    return Refusal(Reason.UNKNOWN_SERVICE, detail=detail)


def announce(own: OwnBackend, member: Member, ttl_s: float, now: float) -> OwnBackend:
    """Return the state after an announcement or its renewal.

    A renewal that was sent before the backend server left, and comes after, changes
    nothing.
    """
    if member == own.left and now < own.expires:
        return own
    if own.member is not None and member == own.announced:
        return replace(own, expires=now + ttl_s)
    incarnation = next_incarnation(own.incarnation, own.incarnation)
    return replace(
        own,
        incarnation=incarnation,
        announced=member,
        member=replace(member, incarnation=incarnation),
        expires=now + ttl_s,
    )


def leave(own: OwnBackend) -> OwnBackend:
    """Return the state after the backend server stopped taking work."""
    return replace(own, announced=None, member=None, left=own.announced)


def has_lapsed(own: OwnBackend, now: float) -> bool:
    """Return whether the backend server stopped renewing its announcement."""
    return own.member is not None and now >= own.expires


def contradicted(own: OwnBackend, hint: Hint | None) -> OwnBackend:
    """Return the state after hearing about the own address.

    A node that was taken for dead, or whose clock went back, goes on under a newer
    incarnation.
    """
    if hint is None or hint.incarnation < own.incarnation:
        return own
    same = hint.incarnation == own.incarnation
    if same and (hint.member is not None or own.member is None):
        return own
    incarnation = next_incarnation(own.incarnation, hint.incarnation)
    member = own.member and replace(own.member, incarnation=incarnation)
    return replace(own, incarnation=incarnation, member=member)


def own_hint(own: OwnBackend) -> Hint:
    """Return what this node tells about itself."""
    if own.member is None:
        return Hint(own.node, own.incarnation)
    return joined(own.member)


def next_record(
    own: OwnBackend, state: MembersState, now: float
) -> tuple[OwnBackend, Joined | Left | None]:
    """Return the record that the log still lacks, if it is time to append it."""
    wanted = _wanted(own, state)
    if wanted is None:
        return own, None
    if wanted == own.told and now < own.told_at + REPEAT_S:
        return own, None
    return replace(own, told=wanted, told_at=now), wanted


def _wanted(own: OwnBackend, state: MembersState) -> Joined | Left | None:
    known = state.by_node.get(own.node)
    if own.member is not None:
        return None if known == own.member else Joined(own.member)
    if known is None:
        return None
    return Left(own.node, known.incarnation)
