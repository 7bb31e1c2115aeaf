"""Reduce membership records to the members of each service."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.model import Address
from _masticspoke.model import Member


@final
@dataclass(frozen=True, slots=True)
class Joined:
    """A backend server offers its service."""

    member: Member


@final
@dataclass(frozen=True, slots=True)
class Left:
    """A backend server takes no new work any more."""

    node: Address
    incarnation: str


@final
@dataclass(frozen=True, slots=True)
class MembersState:
    """Members by the peer address of their node."""

    by_node: Mapping[Address, Member] = field(default_factory=dict)


def reduce_membership(state: MembersState, record: Joined | Left) -> MembersState:
    """Return the members after a record."""
    return _REDUCERS[type(record)](state, record)


def _join(state: MembersState, record: Joined) -> MembersState:
    return MembersState({**state.by_node, record.member.node: record.member})


def _leave(state: MembersState, record: Left) -> MembersState:
    known = state.by_node.get(record.node)
    if known is None or known.incarnation != record.incarnation:
        return state
    return MembersState({n: m for n, m in state.by_node.items() if n != record.node})


_REDUCERS: dict[type, Callable[..., MembersState]] = {Joined: _join, Left: _leave}
