"""Derive the membership of the own backend server from its announcements."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import final

from _masticspoke.decisions.hints import Hint
from _masticspoke.decisions.hints import member_hint
from _masticspoke.decisions.incarnation import next_incarnation
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import Left
from _masticspoke.decisions.members import MembersState
from _masticspoke.model import Address
from _masticspoke.model import Catalogue
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

RECORD_REPEAT_S = 5.0


@final
@dataclass(frozen=True, slots=True)
class OwnBackend:
    """The own backend server as it last announced itself, for membership.

    :param node: peer address of this node.
    :param incarnation: newest incarnation of this node.
    :param announcement: the last announcement, with the backend server's incarnation.
    :param member: the announcement with the node's incarnation; ``None`` when the
        backend server takes no work.
    :param withdrawn: the announcement that was withdrawn last.
    :param expires: time at which the announcement lapses.
    :param last_record: last record given to the log writer.
    :param last_record_at: when it was given; a record that is not in the log yet is
        given again after :data:`RECORD_REPEAT_S`.
    """

    node: Address
    incarnation: str
    announcement: Member | None = None
    member: Member | None = None
    withdrawn: Member | None = None
    expires: float = 0.0
    last_record: Joined | Left | None = None
    last_record_at: float = 0.0


def announcement_refusal(
    catalogue: Catalogue, member: Member, *, stopping: bool
) -> Refusal | None:
    """Return why an announcement is refused, or ``None``.

    Without a catalogue no service is refused: each may turn out to have an entry.
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

    A renewal that was sent before the backend server left but arrives afterwards
    changes nothing.
    """
    if member == own.withdrawn and now < own.expires:
        return own
    if own.member is not None and member == own.announcement:
        return replace(own, expires=now + ttl_s)
    incarnation = next_incarnation(own.incarnation, own.incarnation)
    return replace(
        own,
        incarnation=incarnation,
        announcement=member,
        member=replace(member, incarnation=incarnation),
        expires=now + ttl_s,
    )


def leave(own: OwnBackend) -> OwnBackend:
    """Return the state after the backend server stopped taking work."""
    return replace(own, announcement=None, member=None, withdrawn=own.announcement)


def has_lapsed(own: OwnBackend, now: float) -> bool:
    """Return whether the backend server stopped renewing its announcement."""
    return own.member is not None and now >= own.expires


def reconcile(own: OwnBackend, hint: Hint | None) -> OwnBackend:
    """Return the state after receiving a hint about the own address.

    The node continues under a newer incarnation if peers consider it failed, or if they
    know a newer incarnation of it because its clock was set back.
    """
    if hint is None or hint.incarnation < own.incarnation:
        return own
    same_incarnation = hint.incarnation == own.incarnation
    if same_incarnation and (hint.member is not None or own.member is None):
        return own
    incarnation = next_incarnation(own.incarnation, hint.incarnation)
    member = own.member and replace(own.member, incarnation=incarnation)
    return replace(own, incarnation=incarnation, member=member)


def own_hint(own: OwnBackend) -> Hint:
    """Return the hint that this node sends about itself."""
    if own.member is None:
        return Hint(own.node, own.incarnation)
    return member_hint(own.member)


def next_record(
    own: OwnBackend, state: MembersState, now: float
) -> tuple[OwnBackend, Joined | Left | None]:
    """Return the new state, and the record to append now if the log lacks one."""
    record = _missing_record(own, state)
    if record is None:
        return own, None
    if record == own.last_record and now < own.last_record_at + RECORD_REPEAT_S:
        return own, None
    return replace(own, last_record=record, last_record_at=now), record


def _missing_record(own: OwnBackend, state: MembersState) -> Joined | Left | None:
    recorded = state.by_node.get(own.node)
    if own.member is not None:
        return None if recorded == own.member else Joined(own.member)
    if recorded is None:
        return None
    return Left(own.node, recorded.incarnation)
