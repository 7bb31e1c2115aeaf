"""Ledger of one service: the views, claims and seals that the log contains."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import CONTESTED
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import KeptClaims
from _masticspoke.decisions.once.model import OnceLimits
from _masticspoke.decisions.once.model import OnceRecord
from _masticspoke.decisions.once.model import OpenView
from _masticspoke.decisions.once.model import Seal
from _masticspoke.decisions.once.rules import is_member
from _masticspoke.decisions.once.rules import Rules
from _masticspoke.decisions.once.rules import seals_needed
from _masticspoke.model import View


@final
@dataclass(frozen=True, slots=True)
class LoggedClaim:
    """Who may have run a key, according to the log.

    :param writer: :data:`CONTESTED` if several writers may have run the key.
    :param valid: whether the writer's own claim is valid in the log, which grants it
        the right to run the key; otherwise the log has the claim only as one that a
        member kept.
    :param read_at: when the claim was read; of contested ones, the first.
    """

    writer: Identity
    valid: bool
    read_at: float


@final
@dataclass(slots=True)
class Ledger:
    """Contents of the log about one service.

    :param view: newest view read from the log.
    :param open_views: earlier views that are not closed for all keys, oldest first.
    :param claims: claims by digest, in the order in which the keys were first read.
    """

    view: View
    open_views: list[OpenView] = field(default_factory=list)
    claims: dict[str, LoggedClaim] = field(default_factory=dict)


def apply_item(
    ledger: Ledger,
    item: View | OnceRecord,
    me: Identity,
    rules: Rules,
    limits: OnceLimits,
    now: float,
) -> None:
    """Apply one view or record; call it in the order of the log.

    :param me: this process. Reading a newer view counts as its seal of the one before,
        since it confirms claims in the newest view only.
    """
    if isinstance(item, View):
        _apply_view(ledger, item, me, limits, now)
        return
    _APPLY[type(item)](ledger, item, rules, now)


def _apply_view(
    ledger: Ledger, view: View, me: Identity, limits: OnceLimits, now: float
) -> None:
    before = ledger.view
    if view.number <= before.number:
        return
    if before.members:
        expires_at = now + limits.outage_limit_s + limits.key_lifetime_s
        seals = {me} if is_member(before, me) else set()
        ledger.open_views.append(OpenView(before, expires_at, seals))
    ledger.view = view
    _remove_closed_views(ledger, now)


def _apply_claim(ledger: Ledger, claim: Claim, rules: Rules, now: float) -> None:
    logged = ledger.claims.get(claim.digest)
    if logged is not None and (logged.valid or logged.writer != claim.writer):
        return
    if rules.claim_is_valid(ledger.view, claim):
        ledger.claims[claim.digest] = LoggedClaim(claim.writer, True, now)


def _apply_kept_claims(
    ledger: Ledger, kept: KeptClaims, rules: Rules, now: float
) -> None:
    for claim in kept.claims:
        logged = ledger.claims.get(claim.digest)
        if logged is None:
            ledger.claims[claim.digest] = LoggedClaim(claim.writer, False, now)
        elif not logged.valid and logged.writer != claim.writer:
            ledger.claims[claim.digest] = LoggedClaim(CONTESTED, False, logged.read_at)


def _apply_seal(ledger: Ledger, seal: Seal, rules: Rules, now: float) -> None:
    for old in ledger.open_views:
        if old.view.number <= seal.through and is_member(old.view, seal.member):
            old.seals.add(seal.member)
    _remove_closed_views(ledger, now)


def _remove_closed_views(ledger: Ledger, now: float) -> None:
    ledger.open_views = [
        old for old in ledger.open_views if not _is_closed_for_all_keys(old, now)
    ]


def _is_closed_for_all_keys(old: OpenView, now: float) -> bool:
    members = len(old.view.members)
    return now >= old.expires_at or len(old.seals) >= seals_needed(members)


def expire_claims(ledger: Ledger, limits: OnceLimits, now: float) -> None:
    """Drop claims once clients may no longer repeat their keys."""
    for digest, logged in list(ledger.claims.items()):
        if now - logged.read_at < limits.key_lifetime_s + limits.outage_limit_s:
            return
        del ledger.claims[digest]


def has_open_view(ledger: Ledger, digest: str, rules: Rules, now: float) -> bool:
    """Whether an earlier home may have run a key with a claim unknown to this node."""
    return not all(rules.is_closed(old, digest, now) for old in ledger.open_views)


_APPLY: dict[type, Callable[..., None]] = {
    Claim: _apply_claim,
    KeptClaims: _apply_kept_claims,
    Seal: _apply_seal,
}
