"""Key table of a home: waiting requests, runs in progress and stored answers."""

from __future__ import annotations

from collections.abc import Callable

from _masticspoke.decisions.once import answers
from _masticspoke.decisions.once.confirm import keep_claim
from _masticspoke.decisions.once.ledger import has_open_view
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

# Ran.UNKNOWN: a key without an entry may have run before, here or at another home.
_HOME_UNAVAILABLE = Refusal(Reason.HOME_UNAVAILABLE, Ran.UNKNOWN)
_TABLE_FULL = Refusal(Reason.BUSY, Ran.UNKNOWN)
_KEY_REUSED = Refusal(Reason.KEY_REUSED, Ran.NO)


def handle_request(
    state: OnceState, event: RequestArrived, now: float
) -> list[OnceEffect]:
    """Reply from the table, wait for the run in progress, or claim a new key."""
    key = state.keys.get(event.digest)
    if key is None:
        return _add_key(state, event, now)
    if key.fingerprint != event.fingerprint:
        return [SendReply(event.ticket, _KEY_REUSED)]
    return _REQUEST_HANDLERS[key.phase](state, key, event.ticket, now)


def _add_key(state: OnceState, event: RequestArrived, now: float) -> list[OnceEffect]:
    ledger = ledger_of(state, event.service)
    result = _claim_obstacle(state, ledger, event.digest)
    if result is None and len(state.keys) >= state.limits.max_keys:
        result = _TABLE_FULL
    if result is not None:
        return [SendReply(event.ticket, result)]
    key = Key(event.service, event.digest, event.fingerprint, now, changed_at=now)
    key.tickets += (event.ticket,)
    state.keys[event.digest] = state.waiting[event.digest] = key
    return advance(state, key, now)


def _claim_obstacle(state: OnceState, ledger: Ledger, digest: str) -> Result | None:
    """Return the reply if this node may not claim the key, or ``None`` if it may."""
    writer = known_writer(state, ledger, digest)
    if writer is not None:
        redirect = writer != state.me and is_member(ledger.view, writer)
        return Redirect(writer.node) if redirect else OUTCOME_UNKNOWN
    home = home_of(ledger.view, digest)
    if home is None:
        return _HOME_UNAVAILABLE
    return None if home == state.me else Redirect(home.node)


def _add_waiting(
    state: OnceState, key: Key, ticket: int, now: float
) -> list[OnceEffect]:
    key.tickets += (ticket,)
    return advance(state, key, now)


def _run_granted(
    state: OnceState, key: Key, ticket: int, now: float
) -> list[OnceEffect]:
    key.tickets += (ticket,)
    return grant(state, key, now)


def _reply_stored(
    state: OnceState, key: Key, ticket: int, now: float
) -> list[OnceEffect]:
    answer = answers.stored_answer(state.answers, key.digest)
    return [SendReply(ticket, answer if answer is not None else OUTCOME_UNKNOWN)]


_REQUEST_HANDLERS: dict[
    Phase, Callable[[OnceState, Key, int, float], list[OnceEffect]]
] = {
    Phase.WAITING: _add_waiting,
    Phase.RUNNING: _add_waiting,
    Phase.GRANTED: _run_granted,
    Phase.ANSWERED: _reply_stored,
    Phase.UNKNOWN: lambda state, key, ticket, now: [SendReply(ticket, OUTCOME_UNKNOWN)],
}


def advance(state: OnceState, key: Key, now: float) -> list[OnceEffect]:
    """Grant or abandon a waiting key, or send its claim and confirm requests when due.

    A key in another phase is left unchanged.
    """
    if key.phase is not Phase.WAITING:
        return []
    ledger = ledger_of(state, key.service)
    if _own_claim_is_valid(state, ledger, key.digest):
        return grant(state, key, now)
    if known_writer(state, ledger, key.digest) not in (None, state.me):
        return _abandon_key(state, ledger, key)
    if home_of(ledger.view, key.digest) != state.me:
        return _abandon_key(state, ledger, key)
    if has_open_view(ledger, key.digest, state.rules, now):
        return []
    if key.view != ledger.view.number:
        _reset_claim(state, key, ledger.view.number)
    return [
        *_send_claim(state, key, now),
        *_request_confirmations(state, ledger, key, now),
    ]


def _own_claim_is_valid(state: OnceState, ledger: Ledger, digest: str) -> bool:
    logged = ledger.claims.get(digest)
    return logged is not None and logged.valid and logged.writer == state.me


def _abandon_key(state: OnceState, ledger: Ledger, key: Key) -> list[OnceEffect]:
    del state.keys[key.digest]
    del state.waiting[key.digest]
    result = _claim_obstacle(state, ledger, key.digest)
    return reply_all(key, result if result is not None else _HOME_UNAVAILABLE)


def grant(state: OnceState, key: Key, now: float) -> list[OnceEffect]:
    """Run a key for its first waiting request, or hold the right until one arrives."""
    key.changed_at = now
    key.confirmed_by = frozenset()
    state.waiting.pop(key.digest, None)
    if not key.tickets:
        key.phase = Phase.GRANTED
        return []
    key.phase = Phase.RUNNING
    return [Run(key.digest, key.tickets[0])]


def _send_claim(state: OnceState, key: Key, now: float) -> list[OnceEffect]:
    # While the log is stalled, queued claims would fill the log writer's mailbox.
    if state.log_stalled or now - key.claim_sent_at < state.limits.retry_s:
        return []
    key.claim_sent_at = now
    return [Append(_claim_of(state, key))]


def _reset_claim(state: OnceState, key: Key, view: int) -> None:
    key.view = view
    key.confirmed_by = frozenset({state.me})
    key.claim_sent_at = key.confirm_sent_at = NEVER


def _claim_of(state: OnceState, key: Key) -> Claim:
    return Claim(key.service, key.digest, state.me, key.view)


def _request_confirmations(
    state: OnceState, ledger: Ledger, key: Key, now: float
) -> list[OnceEffect]:
    limits = state.limits
    if now - key.created_at < limits.confirm_after_s and not state.log_stalled:
        return []
    state.log_stalled = True
    if now - state.last_read_at >= limits.outage_limit_s:
        return []
    if now - key.confirm_sent_at < limits.retry_s:
        return []
    claim = _claim_of(state, key)
    if not keep_claim(state, ledger, claim, now):
        return []
    key.confirm_sent_at = now
    request = ConfirmRequest(claim)
    others = [identity_of(m) for m in ledger.view.members]
    return [SendConfirmRequest(o, request) for o in others if o != state.me]


def add_confirmation(
    state: OnceState, event: Confirmation, now: float
) -> list[OnceEffect]:
    """Add a confirmation; a majority of the newest view grants the right to run."""
    key = state.keys.get(event.claim.digest)
    ledger = ledger_of(state, event.claim.service)
    if key is None or key.phase is not Phase.WAITING:
        return []
    if not _confirms_current_claim(state, ledger, key, event):
        return []
    key.confirmed_by |= {event.member}
    if len(key.confirmed_by) < state.rules.majority(len(ledger.view.members)):
        return []
    return grant(state, key, now)


def _confirms_current_claim(
    state: OnceState, ledger: Ledger, key: Key, event: Confirmation
) -> bool:
    return (
        event.claim.writer == state.me
        and event.claim.view == key.view == ledger.view.number
        and is_member(ledger.view, event.member)
    )


def end_run(state: OnceState, event: RunEnded, now: float) -> list[OnceEffect]:
    """Reply to all waiting requests with the outcome of the run."""
    key = state.keys[event.digest]
    key.changed_at = now
    if isinstance(event.outcome, Answered):
        key.phase = Phase.ANSWERED
        answers.store(
            state.answers, key.digest, event.outcome.answer, state.limits, now
        )
        return reply_all(key, event.outcome.answer)
    not_run = state.rules.certainly_not_run(event.outcome)
    key.phase = Phase.GRANTED if not_run else Phase.UNKNOWN
    return reply_all(key, event.outcome)


def withdraw_request(
    state: OnceState, event: RequestWithdrawn, now: float
) -> list[OnceEffect]:
    """Remove a request of a key that waits for the right to run.

    A key in another phase is left unchanged: a run that has begun continues.
    """
    key = state.waiting.get(event.digest)
    if key is not None and event.ticket in key.tickets:
        key.tickets = tuple(t for t in key.tickets if t != event.ticket)
    return []


def expire_keys(state: OnceState, now: float) -> None:
    """Drop keys and kept claims once clients may no longer repeat the keys.

    A key that is running is not dropped.
    """
    lifetime_s = state.limits.key_lifetime_s
    for key in list(state.keys.values()):
        if key.phase is not Phase.RUNNING and now - key.changed_at >= lifetime_s:
            del state.keys[key.digest]
            state.waiting.pop(key.digest, None)
    for digest, kept in list(state.kept.items()):
        if now - kept.kept_at >= lifetime_s + state.limits.outage_limit_s:
            del state.kept[digest]
