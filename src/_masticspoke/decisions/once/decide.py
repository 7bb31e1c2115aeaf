"""Entry point of the at-most-once decisions: handles one event at a time."""

from __future__ import annotations

from collections.abc import Callable

from _masticspoke.decisions.once.answers import evict_expired
from _masticspoke.decisions.once.confirm import drop_logged_claims
from _masticspoke.decisions.once.confirm import drop_logged_seal
from _masticspoke.decisions.once.confirm import handle_confirm_request
from _masticspoke.decisions.once.confirm import resend_own_claims
from _masticspoke.decisions.once.confirm import resend_seals
from _masticspoke.decisions.once.confirm import seal_views
from _masticspoke.decisions.once.keys import add_confirmation
from _masticspoke.decisions.once.keys import advance
from _masticspoke.decisions.once.keys import end_run
from _masticspoke.decisions.once.keys import expire_keys
from _masticspoke.decisions.once.keys import handle_request
from _masticspoke.decisions.once.keys import withdraw_request
from _masticspoke.decisions.once.ledger import apply_item
from _masticspoke.decisions.once.ledger import expire_claims
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
    """Apply one event to the state and return the effects to carry out."""
    return _HANDLERS[type(event)](state, event, now)


def _records_read(state: OnceState, event: RecordsRead, now: float) -> list[OnceEffect]:
    state.last_read_at = now
    state.log_stalled = False
    effects: list[OnceEffect] = []
    for item in event.items:
        if isinstance(item, Claim) and not event.views_complete:
            item = KeptClaims(item.service, (item,))
        effects += _apply_item(state, item, now)
    return effects + _advance_all(state, now)


def _apply_item(
    state: OnceState, item: View | OnceRecord, now: float
) -> list[OnceEffect]:
    ledger = ledger_of(state, item.service)
    view_before = ledger.view
    apply_item(ledger, item, state.me, state.rules, state.limits, now)
    if isinstance(item, Seal):
        drop_logged_seal(state, item)
    if isinstance(item, Claim):
        drop_logged_claims(state, (item,))
    if isinstance(item, KeptClaims):
        drop_logged_claims(state, item.claims)
    if ledger.view is view_before or not is_member(view_before, state.me):
        return []
    return seal_views(state, item.service, ledger.view.number - 1, now)


def _advance_all(state: OnceState, now: float) -> list[OnceEffect]:
    effects: list[OnceEffect] = []
    for key in list(state.waiting.values()):
        effects += advance(state, key, now)
    return effects


def _tick(state: OnceState, event: Tick, now: float) -> list[OnceEffect]:
    evict_expired(state.answers, state.limits, now)
    if now >= state.next_expiry_at:
        state.next_expiry_at = now + state.limits.expiry_interval_s
        expire_keys(state, now)
        for ledger in state.ledgers.values():
            expire_claims(ledger, state.limits, now)
    due = [*resend_seals(state, now), *resend_own_claims(state, now)]
    return due + _advance_all(state, now)


_HANDLERS: dict[type, Callable[..., list[OnceEffect]]] = {
    RequestArrived: handle_request,
    RequestWithdrawn: withdraw_request,
    RecordsRead: _records_read,
    ConfirmRequest: handle_confirm_request,
    Confirmation: add_confirmation,
    RunEnded: end_run,
    Tick: _tick,
}
