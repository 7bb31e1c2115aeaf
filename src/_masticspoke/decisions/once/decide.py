"""Entry point: one event of any type to its effects."""

from __future__ import annotations

from collections.abc import Callable

from _masticspoke.decisions.once.answers import evict_old
from _masticspoke.decisions.once.confirm import claims_read
from _masticspoke.decisions.once.confirm import confirm_asked
from _masticspoke.decisions.once.confirm import own_claims_due
from _masticspoke.decisions.once.confirm import seal
from _masticspoke.decisions.once.confirm import seal_read
from _masticspoke.decisions.once.confirm import seals_due
from _masticspoke.decisions.once.keys import ask
from _masticspoke.decisions.once.keys import confirmed
from _masticspoke.decisions.once.keys import forget_old
from _masticspoke.decisions.once.keys import progress
from _masticspoke.decisions.once.keys import run_ended
from _masticspoke.decisions.once.keys import withdraw
from _masticspoke.decisions.once.ledger import forget_expired
from _masticspoke.decisions.once.ledger import reduce
from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import KeptClaims
from _masticspoke.decisions.once.model import OnceEffect
from _masticspoke.decisions.once.model import OnceEvent
from _masticspoke.decisions.once.model import OnceRecord
from _masticspoke.decisions.once.model import RecordsRead
from _masticspoke.decisions.once.model import RequestArrived
from _masticspoke.decisions.once.model import RequestWithdrawn
from _masticspoke.decisions.once.model import RunEnded
from _masticspoke.decisions.once.model import Seal
from _masticspoke.decisions.once.model import Tick
from _masticspoke.decisions.once.rules import is_member
from _masticspoke.decisions.once.state import ledger_of
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.model import View


def decide(state: OnceState, event: OnceEvent, now: float) -> list[OnceEffect]:
    """Change the state by one event and return what is to be done."""
    return _DECIDERS[type(event)](state, event, now)


def _records_read(state: OnceState, event: RecordsRead, now: float) -> list[OnceEffect]:
    state.last_read_at = now
    state.log_silent = False
    effects: list[OnceEffect] = []
    for item in event.items:
        if isinstance(item, Claim) and not event.views_complete:
            item = KeptClaims(item.service, (item,))
        effects += _item_read(state, item, now)
    return effects + _progress_all(state, now)


def _item_read(
    state: OnceState, item: View | OnceRecord, now: float
) -> list[OnceEffect]:
    ledger = ledger_of(state, item.service)
    before = ledger.view
    reduce(ledger, item, state.me, state.rules, state.limits, now)
    if isinstance(item, Seal):
        seal_read(state, item)
    if isinstance(item, Claim):
        claims_read(state, (item,))
    if isinstance(item, KeptClaims):
        claims_read(state, item.claims)
    if ledger.view is before or not is_member(before, state.me):
        return []
    return seal(state, item.service, ledger.view.number - 1, now)


def _progress_all(state: OnceState, now: float) -> list[OnceEffect]:
    effects: list[OnceEffect] = []
    for key in list(state.waiting.values()):
        effects += progress(state, key, now)
    return effects


def _tick(state: OnceState, event: Tick, now: float) -> list[OnceEffect]:
    evict_old(state.answers, state.limits, now)
    if now >= state.next_forgetting_at:
        state.next_forgetting_at = now + state.limits.forget_every_s
        forget_old(state, now)
        for ledger in state.ledgers.values():
            forget_expired(ledger, state.limits, now)
    due = [*seals_due(state, now), *own_claims_due(state, now)]
    return due + _progress_all(state, now)


_DECIDERS: dict[type, Callable[..., list[OnceEffect]]] = {
    RequestArrived: ask,
    RequestWithdrawn: withdraw,
    RecordsRead: _records_read,
    ConfirmRequest: confirm_asked,
    Confirmation: confirmed,
    RunEnded: run_ended,
    Tick: _tick,
}
