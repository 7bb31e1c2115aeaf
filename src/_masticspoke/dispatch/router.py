"""The router: classifies requests, chooses backend servers, allows retries."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from _masticspoke.decisions.classify import classify
from _masticspoke.decisions.retry import next_attempt
from _masticspoke.decisions.routing import choose_member
from _masticspoke.messages import AttemptEnded
from _masticspoke.messages import AttemptFailed
from _masticspoke.messages import Begin
from _masticspoke.messages import CatalogueChanged
from _masticspoke.messages import MembersChanged
from _masticspoke.messages import Target
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.model import EMPTY_CATALOGUE
from _masticspoke.model import LoadReport
from _masticspoke.model import Member
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

RouterMessage = Begin | AttemptFailed | AttemptEnded | CatalogueChanged | MembersChanged


@final
@dataclass(slots=True)
class _RouterState:
    own: Address
    random: Random
    catalogue: Catalogue = EMPTY_CATALOGUE
    members: dict[str, list[Member]] = field(default_factory=dict)
    loads: dict[Address, LoadReport] = field(default_factory=dict)


def router(
    inbox: Mailbox[RouterMessage], clock: Clock, own: Address, random: Random
) -> ChildBody:
    """Return the body of the router's task.

    :param own: peer address of this node.
    """

    async def run(life: Lifecycle) -> None:
        state = _RouterState(own, random)
        await serve(inbox, state, _HANDLERS, clock, life)

    return run


def _begin(state: _RouterState, message: Begin, now: float) -> None:
    action = message.shape.trace.trace_id if message.shape.trace else None
    call = classify(
        state.catalogue,
        message.shape,
        message.parent,
        action or secrets.token_hex(16),
        now,
    )
    if isinstance(call, Refusal):
        message.reply.answer(call)
        return
    message.reply.answer(_target(state, call, frozenset()))


def _target(
    state: _RouterState, call: Call, tried: frozenset[Address]
) -> Target | Refusal:
    members = state.members.get(call.service, [])
    member = choose_member(members, state.loads, tried, state.own, state.random)
    if member is None:
        return Refusal(Reason.NO_BACKEND_SERVER, detail=f"service {call.service}")
    return Target(call, member, member.node == state.own)


def _attempt_failed(state: _RouterState, message: AttemptFailed, now: float) -> None:
    _learn(state, message.target.member.node, message.report)
    call = next_attempt(message.target.call, message.refusal, now)
    if isinstance(call, Refusal):
        message.reply.answer(call)
        return
    tried = frozenset({message.target.member.node})
    target = _target(state, call, tried)
    message.reply.answer(message.refusal if isinstance(target, Refusal) else target)


def _attempt_ended(state: _RouterState, message: AttemptEnded, now: float) -> None:
    _learn(state, message.target.member.node, message.report)


def _learn(state: _RouterState, node: Address, report: LoadReport | None) -> None:
    if report is not None:
        state.loads[node] = report


def _catalogue_changed(
    state: _RouterState, message: CatalogueChanged, now: float
) -> None:
    state.catalogue = message.catalogue


def _members_changed(state: _RouterState, message: MembersChanged, now: float) -> None:
    known = {m.node: m.incarnation for held in state.members.values() for m in held}
    state.members = {}
    for member in message.members:
        state.members.setdefault(member.service, []).append(member)
    same = {m.node for m in message.members if known.get(m.node) == m.incarnation}
    state.loads = {n: load for n, load in state.loads.items() if n in same}


_HANDLERS: Handlers[_RouterState] = {
    Begin: _begin,
    AttemptFailed: _attempt_failed,
    AttemptEnded: _attempt_ended,
    CatalogueChanged: _catalogue_changed,
    MembersChanged: _members_changed,
}
