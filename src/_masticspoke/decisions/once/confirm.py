"""Keep claims for the homes of a view while the log is away."""

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

_CLAIMS_A_RECORD = 1_000


def confirm_asked(
    state: OnceState, event: ConfirmRequest, now: float
) -> list[OnceEffect]:
    """Keep the claim and say so, unless a newer view or another claim is known."""
    claim = event.claim
    ledger = ledger_of(state, claim.service)
    if not state.rules.may_confirm(ledger.view, event, state.me):
        return []
    if not keep(state, ledger, claim, now):
        return []
    return [SendConfirmation(Confirmation(claim, state.me))]


def keep(state: OnceState, ledger: Ledger, claim: Claim, now: float) -> bool:
    """Keep a claim, unless another writer's is known or too many are kept."""
    writer = known_writer(state, ledger, claim.digest)
    if writer is not None:
        return writer == claim.writer
    if len(state.kept) >= state.limits.max_keys:
        return False
    state.kept[claim.digest] = KeptClaim(claim, now)
    return True


def seal(state: OnceState, service: str, through: int, now: float) -> list[OnceEffect]:
    """Append all kept claims and the promise to confirm no more up to a view."""
    kept = [k.claim for k in state.kept.values() if k.claim.service == service]
    state.unread_seals[service] = UnreadSeal(through, now)
    return [*_append_kept(service, kept), Append(Seal(service, through, state.me))]


def _append_kept(service: str, claims: Sequence[Claim]) -> list[OnceEffect]:
    return [
        Append(KeptClaims(service, tuple(claims[start : start + _CLAIMS_A_RECORD])))
        for start in range(0, len(claims), _CLAIMS_A_RECORD)
    ]


def claims_read(state: OnceState, claims: Iterable[Claim]) -> None:
    """Stop keeping the claims that the log has."""
    for claim in claims:
        claimed = ledger_of(state, claim.service).claims.get(claim.digest)
        kept = state.kept.get(claim.digest)
        if claimed is None or kept is None:
            continue
        if claimed.counted or claimed.writer in (kept.claim.writer, CONTESTED):
            del state.kept[claim.digest]


def own_claims_due(state: OnceState, now: float) -> list[OnceEffect]:
    """Append the own claims that members kept while the log was silent."""
    if state.log_silent or now - state.own_claims_sent_at < state.limits.retry_s:
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


def seal_read(state: OnceState, record: Seal) -> None:
    """Note that a seal of this node is in the log."""
    unread = state.unread_seals.get(record.service)
    if unread is None or record.member != state.me:
        return
    if record.through >= unread.through:
        del state.unread_seals[record.service]


def seals_due(state: OnceState, now: float) -> list[OnceEffect]:
    """Append again the seals that were not read back in time."""
    effects: list[OnceEffect] = []
    for service, unread in list(state.unread_seals.items()):
        if now - unread.sent_at >= state.limits.retry_s:
            effects += seal(state, service, unread.through, now)
    return effects
