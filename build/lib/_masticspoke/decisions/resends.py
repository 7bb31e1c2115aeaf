"""Count a client's own re-sends of one user action against its allowance."""

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
    """One user action that a client named by an idempotency key.

    :param left: retries that are neither used nor lent.
    :param running: sends that are under way.
    :param refused: whether the last finished send was refused.
    :param expires: when the first send's deadline passes.
    """

    left: int
    running: int
    refused: bool
    expires: float


@final
@dataclass(slots=True)
class Actions:
    """The actions that a node knows, oldest first."""

    by_id: dict[ActionId, Action] = field(default_factory=dict)


def begin_action(actions: Actions, call: Call, now: float) -> Call | Refusal:
    """Return the root call with what is left of its action's allowance.

    The first send of an action gets the whole allowance. A re-send uses one retry,
    except that of a non-idempotent call that is running or answered: it runs nothing.
    """
    if call.key is None or call.depth > 0:
        return call
    known = actions.by_id.get((call.kind, call.key))
    if known is None or now >= known.expires:
        _forget_old(actions, now)
        actions.by_id[(call.kind, call.key)] = Action(0, 1, False, call.deadline)
        return call
    if not call.idempotent and not known.refused:
        known.running += 1
        return replace(call, allowance=0)
    if known.left < 1:
        return _spent(call, known.expires - now)
    lent, known.left = known.left - 1, 0
    known.running += 1
    return replace(call, allowance=lent)


def end_action(actions: Actions, call: Call, unused: int, *, refused: bool) -> None:
    """Take back what a send of an action did not use."""
    if call.key is None or call.depth > 0:
        return
    known = actions.by_id.get((call.kind, call.key))
    if known is None:
        return
    known.left += unused
    known.running = max(0, known.running - 1)
    known.refused = refused and known.running == 0


def _spent(call: Call, wait_s: float) -> Refusal:
    # Another node may have run a non-idempotent call under the same key (issue 4).
    ran = Ran.NO if call.idempotent else Ran.UNKNOWN
    return Refusal(Reason.RETRIES_SPENT, ran, wait_s, "re-sends count as retries")


def _forget_old(actions: Actions, now: float) -> None:
    if len(actions.by_id) < MAX_ACTIONS:
        return
    alive = {i: a for i, a in actions.by_id.items() if now < a.expires}
    while len(alive) >= MAX_ACTIONS:
        del alive[next(iter(alive))]
    actions.by_id = alive
