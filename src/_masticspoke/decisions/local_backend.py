"""Derive the membership of the local backend server from its announcements."""

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
class LocalBackend:
    """The local backend server as it last announced itself, for membership.

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


def announce(
    backend: LocalBackend, member: Member, ttl_s: float, now: float
) -> LocalBackend:
    """Return the state after an announcement or its renewal.

    An announcement equal to the withdrawn one changes nothing until that one would have
    lapsed: it may be a renewal that was sent before the backend server left.
    """
    if member == backend.withdrawn and now < backend.expires:
        return backend
    if backend.member is not None and member == backend.announcement:
        return replace(backend, expires=now + ttl_s)
    incarnation = next_incarnation(backend.incarnation, backend.incarnation)
    return replace(
        backend,
        incarnation=incarnation,
        announcement=member,
        member=replace(member, incarnation=incarnation),
        expires=now + ttl_s,
    )


def leave(backend: LocalBackend) -> LocalBackend:
    """Return the state after the backend server stopped taking work."""
    return replace(
        backend, announcement=None, member=None, withdrawn=backend.announcement
    )


def has_lapsed(backend: LocalBackend, now: float) -> bool:
    """Return whether the backend server stopped renewing its announcement."""
    return backend.member is not None and now >= backend.expires


def reconcile(backend: LocalBackend, hint: Hint | None) -> LocalBackend:
    """Return the state after receiving a hint about this node's address.

    The node continues under a newer incarnation if peers consider it failed, or if they
    know a newer incarnation of it because its clock was set back.
    """
    if hint is None or hint.incarnation < backend.incarnation:
        return backend
    same_incarnation = hint.incarnation == backend.incarnation
    if same_incarnation and (hint.member is not None or backend.member is None):
        return backend
    incarnation = next_incarnation(backend.incarnation, hint.incarnation)
    member = backend.member and replace(backend.member, incarnation=incarnation)
    return replace(backend, incarnation=incarnation, member=member)


def own_hint(backend: LocalBackend) -> Hint:
    """Return the hint that this node sends about itself."""
    if backend.member is None:
        return Hint(backend.node, backend.incarnation)
    return member_hint(backend.member)


def next_record(
    backend: LocalBackend, state: MembersState, now: float
) -> tuple[LocalBackend, Joined | Left | None]:
    """Return the new state, and the record to append now if the log lacks one."""
    record = _missing_record(backend, state)
    if record is None:
        return backend, None
    if record == backend.last_record and now < backend.last_record_at + RECORD_REPEAT_S:
        return backend, None
    return replace(backend, last_record=record, last_record_at=now), record


def _missing_record(backend: LocalBackend, state: MembersState) -> Joined | Left | None:
    recorded = state.by_node.get(backend.node)
    if backend.member is not None:
        return None if recorded == backend.member else Joined(backend.member)
    if recorded is None:
        return None
    return Left(backend.node, recorded.incarnation)
