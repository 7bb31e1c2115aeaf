"""The key table of a home: who waits, what runs, what was answered."""

from __future__ import annotations

from collections.abc import Callable

from _masticspoke.decisions.once import answers
from _masticspoke.decisions.once.confirm import keep
from _masticspoke.decisions.once.ledger import is_open
from _masticspoke.decisions.once.ledger import Ledger
from _masticspoke.decisions.once.model import Answered
from _masticspoke.decisions.once.model import Append
from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import identity_of
from _masticspoke.decisions.once.model import OnceEffect
from _masticspoke.decisions.once.model import Redirect
from _masticspoke.decisions.once.model import RequestArrived
from _masticspoke.decisions.once.model import RequestWithdrawn
from _masticspoke.decisions.once.model import Result
from _masticspoke.decisions.once.model import Run
from _masticspoke.decisions.once.model import RunEnded
from _masticspoke.decisions.once.model import SendConfirmRequest
from _masticspoke.decisions.once.model import SendReply
from _masticspoke.decisions.once.placement import home_of
from _masticspoke.decisions.once.rules import is_member
from _masticspoke.decisions.once.state import Key
from _masticspoke.decisions.once.state import known_writer
from _masticspoke.decisions.once.state import ledger_of
from _masticspoke.decisions.once.state import NEVER
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.decisions.once.state import OUTCOME_UNKNOWN
from _masticspoke.decisions.once.state import Phase
from _masticspoke.decisions.once.state import reply_all
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

# It may have run through another home, or at an earlier time, without a trace here.
_NOT_NOW = Refusal(Reason.HOME_UNAVAILABLE, Ran.UNKNOWN)
_FULL = Refusal(Reason.BUSY, Ran.UNKNOWN)
_REUSED = Refusal(Reason.KEY_REUSED, Ran.NO)


def ask(state: OnceState, event: RequestArrived, now: float) -> list[OnceEffect]:
    """Answer from the table, wait for the running one, or claim a fresh key."""
    key = state.keys.get(event.digest)
    if key is None:
        return _ask_fresh(state, event, now)
    if key.fingerprint != event.fingerprint:
        return [SendReply(event.ticket, _REUSED)]
    return _ASKED[key.phase](state, key, event.ticket, now)


def _ask_fresh(state: OnceState, event: RequestArrived, now: float) -> list[OnceEffect]:
    ledger = ledger_of(state, event.service)
    result = _not_mine(state, ledger, event.digest)
    if result is None and len(state.keys) >= state.limits.max_keys:
        result = _FULL
    if result is not None:
        return [SendReply(event.ticket, result)]
    key = Key(event.service, event.digest, event.fingerprint, now, changed_at=now)
    key.tickets += (event.ticket,)
    state.keys[event.digest] = state.waiting[event.digest] = key
    return progress(state, key, now)


def _not_mine(state: OnceState, ledger: Ledger, digest: str) -> Result | None:
    """Return why this node may not claim a key of its own, if there is a reason."""
    writer = known_writer(state, ledger, digest)
    if writer is not None:
        elsewhere = writer != state.me and is_member(ledger.view, writer)
        return Redirect(writer.node) if elsewhere else OUTCOME_UNKNOWN
    home = home_of(ledger.view, digest)
    if home is None:
        return _NOT_NOW
    return None if home == state.me else Redirect(home.node)


def _wait(state: OnceState, key: Key, ticket: int, now: float) -> list[OnceEffect]:
    key.tickets += (ticket,)
    return progress(state, key, now)


def _run_again(state: OnceState, key: Key, ticket: int, now: float) -> list[OnceEffect]:
    key.tickets += (ticket,)
    return grant(state, key, now)


def _answer(state: OnceState, key: Key, ticket: int, now: float) -> list[OnceEffect]:
    answer = answers.stored(state.answers, key.digest)
    return [SendReply(ticket, answer if answer is not None else OUTCOME_UNKNOWN)]


_ASKED: dict[Phase, Callable[[OnceState, Key, int, float], list[OnceEffect]]] = {
    Phase.WAITING: _wait,
    Phase.RUNNING: _wait,
    Phase.REFUSED: _run_again,
    Phase.ANSWERED: _answer,
    Phase.UNKNOWN: lambda state, key, ticket, now: [SendReply(ticket, OUTCOME_UNKNOWN)],
}


def progress(state: OnceState, key: Key, now: float) -> list[OnceEffect]:
    """Do what is due for a key that waits for the right to run."""
    if key.phase is not Phase.WAITING:
        return []
    ledger = ledger_of(state, key.service)
    if _claim_counted(state, ledger, key.digest):
        return grant(state, key, now)
    if known_writer(state, ledger, key.digest) not in (None, state.me):
        return _give_up(state, ledger, key)
    if home_of(ledger.view, key.digest) != state.me:
        return _give_up(state, ledger, key)
    if is_open(ledger, key.digest, state.rules, now):
        return []
    if key.view != ledger.view.number:
        _claim_anew(state, key, ledger.view.number)
    return [*_send_claim(state, key, now), *_ask_members(state, ledger, key, now)]


def _claim_counted(state: OnceState, ledger: Ledger, digest: str) -> bool:
    claimed = ledger.claims.get(digest)
    return claimed is not None and claimed.counted and claimed.writer == state.me


def _give_up(state: OnceState, ledger: Ledger, key: Key) -> list[OnceEffect]:
    del state.keys[key.digest]
    del state.waiting[key.digest]
    result = _not_mine(state, ledger, key.digest)
    return reply_all(key, result if result is not None else _NOT_NOW)


def grant(state: OnceState, key: Key, now: float) -> list[OnceEffect]:
    """Run a key for its first asker; without one the right is held."""
    key.changed_at = now
    key.confirmed = frozenset()
    state.waiting.pop(key.digest, None)
    if not key.tickets:
        key.phase = Phase.REFUSED
        return []
    key.phase = Phase.RUNNING
    return [Run(key.digest, key.tickets[0])]


def _send_claim(state: OnceState, key: Key, now: float) -> list[OnceEffect]:
    # What waits for a silent log would fill the writer's mailbox (issue 5).
    if state.log_silent or now - key.claim_sent_at < state.limits.retry_s:
        return []
    key.claim_sent_at = now
    return [Append(_claim_of(state, key))]


def _claim_anew(state: OnceState, key: Key, view: int) -> None:
    key.view = view
    key.confirmed = frozenset({state.me})
    key.claim_sent_at = key.asked_at = NEVER


def _claim_of(state: OnceState, key: Key) -> Claim:
    return Claim(key.service, key.digest, state.me, key.view)


def _ask_members(
    state: OnceState, ledger: Ledger, key: Key, now: float
) -> list[OnceEffect]:
    limits = state.limits
    if now - key.since < limits.confirm_after_s and not state.log_silent:
        return []
    state.log_silent = True
    if now - state.last_read_at >= limits.outage_limit_s:
        return []
    if now - key.asked_at < limits.retry_s:
        return []
    claim = _claim_of(state, key)
    if not keep(state, ledger, claim, now):
        return []
    key.asked_at = now
    question = ConfirmRequest(claim)
    others = [identity_of(m) for m in ledger.view.members]
    return [SendConfirmRequest(o, question) for o in others if o != state.me]


def confirmed(state: OnceState, event: Confirmation, now: float) -> list[OnceEffect]:
    """Count a confirmation; a majority of the newest view gives the right to run."""
    key = state.keys.get(event.claim.digest)
    ledger = ledger_of(state, event.claim.service)
    if key is None or key.phase is not Phase.WAITING:
        return []
    if not _is_current(state, ledger, key, event):
        return []
    key.confirmed |= {event.member}
    if len(key.confirmed) < state.rules.majority(len(ledger.view.members)):
        return []
    return grant(state, key, now)


def _is_current(
    state: OnceState, ledger: Ledger, key: Key, event: Confirmation
) -> bool:
    return (
        event.claim.writer == state.me
        and event.claim.view == key.view == ledger.view.number
        and is_member(ledger.view, event.member)
    )


def run_ended(state: OnceState, event: RunEnded, now: float) -> list[OnceEffect]:
    """Tell all that wait how the run ended."""
    key = state.keys[event.digest]
    key.changed_at = now
    if isinstance(event.outcome, Answered):
        key.phase = Phase.ANSWERED
        answers.store(
            state.answers, key.digest, event.outcome.answer, state.limits, now
        )
        return reply_all(key, event.outcome.answer)
    not_run = state.rules.certainly_not_run(event.outcome)
    key.phase = Phase.REFUSED if not_run else Phase.UNKNOWN
    return reply_all(key, event.outcome)


def withdraw(state: OnceState, event: RequestWithdrawn, now: float) -> list[OnceEffect]:
    """Forget an asker; a run that has begun goes on."""
    key = state.waiting.get(event.digest)
    if key is not None and event.ticket in key.tickets:
        key.tickets = tuple(t for t in key.tickets if t != event.ticket)
    return []


def forget_old(state: OnceState, now: float) -> None:
    """Drop keys and kept claims that no client sends any more."""
    lifetime_s = state.limits.key_lifetime_s
    for key in list(state.keys.values()):
        if key.phase is not Phase.RUNNING and now - key.changed_at >= lifetime_s:
            del state.keys[key.digest]
            state.waiting.pop(key.digest, None)
    for digest, kept in list(state.kept.items()):
        if now - kept.since >= lifetime_s + state.limits.outage_limit_s:
            del state.kept[digest]
