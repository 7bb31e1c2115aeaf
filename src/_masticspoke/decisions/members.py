"""Reduce the records of the stream ``members`` to numbered views.

Incarnations of one node address are ordered as strings, see
:func:`_masticspoke.decisions.incarnation.first_incarnation`. A record of an
incarnation that is not the newest one is ignored, so that records may be appended
twice or late.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import final

from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.model import View

MAX_ENDED_INCARNATIONS = 256


@final
@dataclass(frozen=True, slots=True)
class Joined:
    """Record: a backend server offers its service."""

    member: Member


@final
@dataclass(frozen=True, slots=True)
class Left:
    """Record: a backend server accepts no new work any more."""

    node: Address
    incarnation: str


MembershipRecord = Joined | Left


@final
@dataclass(frozen=True, slots=True)
class MembersState:
    """The views after a prefix of the stream; every reader computes the same ones.

    :param views: newest view of each service that ever had a member.
    :param by_node: members by the peer address of their node.
    :param ended: last incarnation of nodes that are no longer members, oldest first;
        at most :data:`MAX_ENDED_INCARNATIONS`.
    """

    views: Mapping[str, View] = field(default_factory=dict)
    by_node: Mapping[Address, Member] = field(default_factory=dict)
    ended: Mapping[Address, str] = field(default_factory=dict)


def reduce_membership(
    state: MembersState, record: MembershipRecord, offset: int
) -> MembersState:
    """Return the state after a record; the same object if the record is ignored.

    :param offset: log offset of the record.
    """
    return _REDUCERS[type(record)](state, record, offset)


def changed_views(before: MembersState, after: MembersState) -> tuple[View, ...]:
    """Return the views of ``after`` that differ from those of ``before``."""
    return tuple(
        view
        for service, view in after.views.items()
        if before.views.get(service) is not view
    )


def _apply_joined(state: MembersState, record: Joined, offset: int) -> MembersState:
    member = record.member
    current = state.by_node.get(member.node)
    newest_known = current.incarnation if current else state.ended.get(member.node, "")
    if member.incarnation <= newest_known:
        return state
    if current is not None and current.service != member.service:
        state = _with_next_view(
            _without_member(state, current), current.service, offset
        )
    by_node = {**state.by_node, member.node: member}
    ended = {n: i for n, i in state.ended.items() if n != member.node}
    state = replace(state, by_node=by_node, ended=ended)
    return _with_next_view(state, member.service, offset)


def _apply_left(state: MembersState, record: Left, offset: int) -> MembersState:
    current = state.by_node.get(record.node)
    if current is None or current.incarnation != record.incarnation:
        return state
    return _with_next_view(_without_member(state, current), current.service, offset)


def _without_member(state: MembersState, member: Member) -> MembersState:
    by_node = {n: m for n, m in state.by_node.items() if n != member.node}
    ended = [*state.ended.items(), (member.node, member.incarnation)]
    return replace(state, by_node=by_node, ended=dict(ended[-MAX_ENDED_INCARNATIONS:]))


def _with_next_view(state: MembersState, service: str, offset: int) -> MembersState:
    number = state.views[service].number + 1 if service in state.views else 1
    members = sorted(
        (m for m in state.by_node.values() if m.service == service),
        key=lambda m: m.node,
    )
    view = View(service, number, offset, tuple(members))
    return replace(state, views={**state.views, service: view})


_REDUCERS: dict[type, Callable[..., MembersState]] = {
    Joined: _apply_joined,
    Left: _apply_left,
}
