"""Confirm and keep claims while the log is unavailable, and seal earlier views."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

from _masticspoke.decisions.once.ledger import Ledger
from _masticspoke.decisions.once.model import Append
from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import CONTESTED
from _masticspoke.decisions.once.model import KeptClaims
from _masticspoke.decisions.once.model import OnceEffect
from _masticspoke.decisions.once.model import Seal
from _masticspoke.decisions.once.model import SendConfirmation
from _masticspoke.decisions.once.state import KeptClaim
from _masticspoke.decisions.once.state import known_writer
from _masticspoke.decisions.once.state import ledger_of
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.decisions.once.state import UnreadSeal

_MAX_CLAIMS_PER_RECORD = 1_000


def handle_confirm_request(
    state: OnceState, event: ConfirmRequest, now: float
) -> list[OnceEffect]:
    """Keep and confirm another home's claim.

    The claim is not confirmed if another writer has claimed the key, if too many claims
    are kept already, or if the rules forbid it, for example because this process has
    read a newer view.
    """
    claim = event.claim
    ledger = ledger_of(state, claim.service)
    if not state.rules.may_confirm(ledger.view, event, state.me):
        return []
    if not keep_claim(state, ledger, claim, now):
        return []
    return [SendConfirmation(Confirmation(claim, state.me))]


def keep_claim(state: OnceState, ledger: Ledger, claim: Claim, now: float) -> bool:
    """Keep a claim unless the log has it; return whether it is kept or logged.

    It is neither if another writer has claimed the key, or if too many claims are kept
    already.
    """
    writer = known_writer(state, ledger, claim.digest)
    if writer is not None:
        return writer == claim.writer
    if len(state.kept) >= state.limits.max_keys:
        return False
    state.kept[claim.digest] = KeptClaim(claim, now)
    return True


def seal_views(
    state: OnceState, service: str, through: int, now: float
) -> list[OnceEffect]:
    """Append a service's kept claims, then a seal of its views up to ``through``."""
    kept = [k.claim for k in state.kept.values() if k.claim.service == service]
    state.unread_seals[service] = UnreadSeal(through, now)
    return [*_append_kept(service, kept), Append(Seal(service, through, state.me))]


def _append_kept(service: str, claims: Sequence[Claim]) -> list[OnceEffect]:
    return [
        Append(
            KeptClaims(service, tuple(claims[start : start + _MAX_CLAIMS_PER_RECORD]))
        )
        for start in range(0, len(claims), _MAX_CLAIMS_PER_RECORD)
    ]


def drop_logged_claims(state: OnceState, claims: Iterable[Claim]) -> None:
    """Stop keeping claims that need not be appended, after ``claims`` were read.

    A kept claim must still be appended if the log has another writer's claim that is
    not valid: the two together mark the key as contested.
    """
    for claim in claims:
        logged = ledger_of(state, claim.service).claims.get(claim.digest)
        kept = state.kept.get(claim.digest)
        if logged is None or kept is None:
            continue
        if logged.valid or logged.writer in (kept.claim.writer, CONTESTED):
            del state.kept[claim.digest]


def resend_own_claims(state: OnceState, now: float) -> list[OnceEffect]:
    """Append again the kept claims of this process, unless the log is stalled.

    Claims of waiting keys are left out: :func:`.keys.advance` sends them.
    """
    if state.log_stalled or now - state.own_claims_sent_at < state.limits.retry_s:
        return []
    state.own_claims_sent_at = now
    services: dict[str, list[Claim]] = {}
    for digest, kept in state.kept.items():
        if kept.claim.writer == state.me and digest not in state.waiting:
            services.setdefault(kept.claim.service, []).append(kept.claim)
    effects: list[OnceEffect] = []
    for service, claims in services.items():
        effects += _append_kept(service, claims)
    return effects


def drop_logged_seal(state: OnceState, record: Seal) -> None:
    """Stop resending a seal of this process that was read back from the log."""
    unread = state.unread_seals.get(record.service)
    if unread is None or record.member != state.me:
        return
    if record.through >= unread.through:
        del state.unread_seals[record.service]


def resend_seals(state: OnceState, now: float) -> list[OnceEffect]:
    """Append again the kept claims and the seals that were not read back in time."""
    effects: list[OnceEffect] = []
    for service, unread in list(state.unread_seals.items()):
        if now - unread.sent_at >= state.limits.retry_s:
            effects += seal_views(state, service, unread.through, now)
    return effects
