"""Count a client's re-sends of one user action against its retry allowance."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import final

from _masticspoke.model import Call
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

MAX_ACTIONS = 10_000

ActionId = tuple[str, str]


@final
@dataclass(slots=True)
class Action:
    """A user action that its client identifies by an idempotency key.

    :param retries_left: retries that are neither used nor lent.
    :param running_sends: sends of the action that are under way.
    :param last_refused: whether the send that ended last was refused while no other
        was under way.
    :param expires: deadline of the first send.
    """

    retries_left: int
    running_sends: int
    last_refused: bool
    expires: float


@final
@dataclass(slots=True)
class Actions:
    """Actions by kind and idempotency key, oldest first."""

    by_id: dict[ActionId, Action] = field(default_factory=dict)


def begin_action(actions: Actions, call: Call, now: float) -> Call | Refusal:
    """Return a root call with the retries that its action has left.

    The first send of an action gets the whole allowance. A re-send uses one retry,
    unless the call is non-idempotent and its last send was not refused: then the call
    is running or answered, and nothing runs again.
    """
    if call.key is None or call.depth > 0:
        return call
    action = actions.by_id.get((call.kind, call.key))
    if action is None or now >= action.expires:
        _make_room(actions, now)
        actions.by_id[(call.kind, call.key)] = Action(0, 1, False, call.deadline)
        return call
    if not call.idempotent and not action.last_refused:
        action.running_sends += 1
        return replace(call, allowance=0)
    if action.retries_left < 1:
        return _allowance_spent(call, action.expires - now)
    lent, action.retries_left = action.retries_left - 1, 0
    action.running_sends += 1
    return replace(call, allowance=lent)


def end_action(actions: Actions, call: Call, unused: int, *, refused: bool) -> None:
    """Add the retries that a send did not use to those that its action has left."""
    if call.key is None or call.depth > 0:
        return
    action = actions.by_id.get((call.kind, call.key))
    if action is None:
        return
    action.retries_left += unused
    action.running_sends = max(0, action.running_sends - 1)
    action.last_refused = refused and action.running_sends == 0


def _allowance_spent(call: Call, wait_s: float) -> Refusal:
    # Another node may have run a non-idempotent call with the same key.
    ran = Ran.NO if call.idempotent else Ran.UNKNOWN
    return Refusal(Reason.RETRIES_SPENT, ran, wait_s, "re-sends count as retries")


def _make_room(actions: Actions, now: float) -> None:
    if len(actions.by_id) < MAX_ACTIONS:
        return
    unexpired = {i: a for i, a in actions.by_id.items() if now < a.expires}
    while len(unexpired) >= MAX_ACTIONS:
        del unexpired[next(iter(unexpired))]
    actions.by_id = unexpired
