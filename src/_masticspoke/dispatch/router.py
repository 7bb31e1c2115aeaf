"""Router: classifies requests, chooses backend servers and permits retries."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random
from typing import final

from _masticspoke.decisions import peers
from _masticspoke.decisions.bucket import record_success
from _masticspoke.decisions.bucket import RetryBucket
from _masticspoke.decisions.classify import classify
from _masticspoke.decisions.peers import Peers
from _masticspoke.decisions.resends import Actions
from _masticspoke.decisions.resends import begin_action
from _masticspoke.decisions.resends import end_action
from _masticspoke.decisions.retry import Attempt
from _masticspoke.decisions.retry import backoff_s
from _masticspoke.decisions.retry import cover_all_attempts
from _masticspoke.decisions.retry import first_attempt
from _masticspoke.decisions.retry import next_attempt
from _masticspoke.decisions.retry import with_retry_after
from _masticspoke.decisions.routing import choose_member
from _masticspoke.messages.control import CatalogueChanged
from _masticspoke.messages.control import MembersChanged
from _masticspoke.messages.dispatch import AttemptEnded
from _masticspoke.messages.dispatch import AttemptFailed
from _masticspoke.messages.dispatch import BeginCall
from _masticspoke.messages.dispatch import CallEnded
from _masticspoke.messages.dispatch import RouteCall
from _masticspoke.messages.dispatch import Target
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Catalogue
from _masticspoke.model import EMPTY_CATALOGUE
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve
from _masticspoke.supervise.supervisor import Clock

RouterMessage = (
    BeginCall
    | RouteCall
    | AttemptFailed
    | AttemptEnded
    | CallEnded
    | CatalogueChanged
    | MembersChanged
)
# A member that fails for these reasons is chosen less often, and ejected after several
# failures in a row.
_MEMBER_FAILURES = frozenset(
    {
        Reason.NO_BACKEND_SERVER,
        Reason.BACKEND_UNREACHABLE,
        Reason.BACKEND_FAILED,
        Reason.BACKEND_SHED,
        Reason.NODE_UNREACHABLE,
        Reason.NODE_FAILED,
    }
)


@final
@dataclass(slots=True)
class _RouterState:
    """State of the router.

    :param actions: root calls with an idempotency key and their remaining retries.
    :param buckets: token buckets for retries, by service.
    """

    peers: Peers
    random: Random
    catalogue: Catalogue = EMPTY_CATALOGUE
    actions: Actions = field(default_factory=Actions)
    buckets: dict[str, RetryBucket] = field(default_factory=dict)


def router(
    inbox: Mailbox[RouterMessage],
    clock: Clock,
    own_address: Address,
    zone: str,
    random: Random,
) -> ChildBody:
    """Return the body of the router's task.

    :param own_address: peer address of this node.
    :param zone: availability zone of this node.
    """

    async def run(life: Lifecycle) -> None:
        state = _RouterState(Peers(own_address, zone), random)
        await serve(inbox, state, _HANDLERS, clock, life)

    return run


def _begin_call(state: _RouterState, message: BeginCall, now: float) -> None:
    message.reply.answer(_first_target(state, message, now))


def _route_call(state: _RouterState, message: RouteCall, now: float) -> None:
    message.reply.answer(_choose_target(state, first_attempt(message.call), now))


def _first_target(
    state: _RouterState, message: BeginCall, now: float
) -> Target | Refusal:
    trace = message.shape.trace
    action_id = trace.trace_id if trace else secrets.token_hex(16)
    call = classify(state.catalogue, message.shape, message.loan, action_id, now)
    if isinstance(call, Refusal):
        return with_retry_after(call, state.random)
    admitted = begin_action(state.actions, call, now)
    if isinstance(admitted, Refusal):
        return replace(admitted, call=call)
    target = _choose_target(state, first_attempt(admitted), now)
    if isinstance(target, Refusal):
        end_action(state.actions, admitted, admitted.allowance, refused=True)
        return with_retry_after(replace(target, call=call), state.random)
    return target


def _choose_target(
    state: _RouterState, attempt: Attempt, now: float
) -> Target | Refusal:
    member = choose_member(
        state.peers, attempt.call, attempt.progress.tried_nodes, now, state.random
    )
    if isinstance(member, Refusal):
        return member
    peers.record_sent(state.peers, member.node)
    return Target(attempt, member, member.node == state.peers.own_address)


def _attempt_failed(state: _RouterState, message: AttemptFailed, now: float) -> None:
    _record_failure(state, message, now)
    decision = _next_target(state, message, now)
    if isinstance(decision, Refusal):
        decision = with_retry_after(decision, state.random)
    message.reply.answer(decision)


def _record_failure(state: _RouterState, message: AttemptFailed, now: float) -> None:
    node = message.target.member.node
    peers.record_ended(state.peers, node)
    peers.record_report(state.peers, node, message.report, now)
    if message.refusal.reason is Reason.DEADLINE_PASSED:
        peers.record_latency(state.peers, node, message.waited_s, now)
    elif message.refusal.reason in _MEMBER_FAILURES:
        peers.record_failure(state.peers, node, now)


def _next_target(
    state: _RouterState, message: AttemptFailed, now: float
) -> Target | Refusal:
    target, refusal = message.target, message.refusal
    if not message.resendable:
        return cover_all_attempts(refusal, target.attempt.progress)
    bucket = _retry_bucket(state, target.call)
    attempt = next_attempt(
        target.attempt, target.member.node, refusal, message.returned, bucket, now
    )
    if isinstance(attempt, Refusal):
        return attempt
    chosen = _choose_target(state, attempt, now)
    if isinstance(chosen, Target):
        return chosen
    return _target_after_pause(state, attempt, now) or cover_all_attempts(
        refusal, attempt.progress
    )


def _target_after_pause(
    state: _RouterState, attempt: Attempt, now: float
) -> Target | None:
    progress = attempt.progress
    wait_s = backoff_s(progress.pauses, state.random)
    if now + wait_s >= attempt.call.deadline:
        return None
    restarted = replace(progress, tried_nodes=frozenset(), pauses=progress.pauses + 1)
    chosen = _choose_target(state, replace(attempt, progress=restarted), now)
    return None if isinstance(chosen, Refusal) else replace(chosen, wait_s=wait_s)


def _attempt_ended(state: _RouterState, message: AttemptEnded, now: float) -> None:
    node = message.target.member.node
    peers.record_ended(state.peers, node)
    if message.answered_at is None:
        peers.record_abandoned_wait(state.peers, node, message.latency_s, now)
        return
    peers.record_report(state.peers, node, message.report, message.answered_at)
    peers.record_latency(state.peers, node, message.latency_s, now)
    record_success(_retry_bucket(state, message.target.call))


def _call_ended(state: _RouterState, message: CallEnded, now: float) -> None:
    end_action(state.actions, message.call, message.unused, refused=message.refused)


def _retry_bucket(state: _RouterState, call: Call) -> RetryBucket:
    return state.buckets.setdefault(call.service, RetryBucket())


def _catalogue_changed(
    state: _RouterState, message: CatalogueChanged, now: float
) -> None:
    state.catalogue = message.catalogue
    services = {entry.service for entry in message.catalogue.entries}
    state.buckets = {s: b for s, b in state.buckets.items() if s in services}


def _members_changed(state: _RouterState, message: MembersChanged, now: float) -> None:
    peers.replace_members(state.peers, message.members, now)


_HANDLERS: Handlers[_RouterState] = {
    BeginCall: _begin_call,
    RouteCall: _route_call,
    AttemptFailed: _attempt_failed,
    AttemptEnded: _attempt_ended,
    CallEnded: _call_ended,
    CatalogueChanged: _catalogue_changed,
    MembersChanged: _members_changed,
}
