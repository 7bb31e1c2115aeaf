"""Faulty variants of the protocol, each of which the explorer must find."""

from __future__ import annotations

from dataclasses import replace

from testing.explorer.world import Faults

from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import OpenView
from _masticspoke.decisions.once.placement import home_of
from _masticspoke.decisions.once.rules import is_closed
from _masticspoke.decisions.once.rules import is_member
from _masticspoke.decisions.once.rules import may_confirm
from _masticspoke.decisions.once.rules import RULES
from _masticspoke.decisions.once.rules import seals_needed
from _masticspoke.model import View
from _masticspoke.refusals import Refusal

STOP_WAIT_S = 400.0


def any_claim_is_valid(view: View, claim: Claim) -> bool:
    return True


def two_are_a_majority(members: int) -> int:
    return 2


def may_confirm_in_older_views(
    newest: View, request: ConfirmRequest, me: Identity
) -> bool:
    return is_member(newest, me)


def may_confirm_before_first_read(
    newest: View, request: ConfirmRequest, me: Identity
) -> bool:
    """A restarted member also confirms before it has read anything."""
    return newest.number == 0 or may_confirm(newest, request, me)


def claim_of_older_view_is_valid(view: View, claim: Claim) -> bool:
    """A claim of the current home is valid even if it was made in an older view."""
    return home_of(view, claim.digest) == claim.writer


def always_closed(old: OpenView, digest: str, now: float) -> bool:
    return True


def closed_by_one_seal_less(old: OpenView, digest: str, now: float) -> bool:
    needed = seals_needed(len(old.view.members)) - 1
    return is_closed(old, digest, now) or len(old.seals) >= max(1, needed)


def closed_by_any_seal(old: OpenView, digest: str, now: float) -> bool:
    return is_closed(old, digest, now) or len(old.seals) >= 1


def closed_after_a_wait(old: OpenView, digest: str, now: float) -> bool:
    """A view also closes a fixed time after a newer one, without waiting for seals.

    The wait gives its home time to stop, but its claims may be missing from the log.
    """
    # The explorer's limits for the outage and the key lifetime add up to 2e9 s.
    superseded_at = old.expires_at - 2e9
    return is_closed(old, digest, now) or now - superseded_at >= STOP_WAIT_S


def closed_by_address(old: OpenView, digest: str, now: float) -> bool:
    sealed = {s.node for s in old.seals}
    return is_closed(old, digest, now) or len(sealed) >= 1


def every_refusal_means_not_run(refusal: Refusal) -> bool:
    return True


FAULTS: dict[str, Faults] = {
    "any claim is valid": Faults(replace(RULES, claim_is_valid=any_claim_is_valid)),
    "a claim of an older view is valid": Faults(
        replace(RULES, claim_is_valid=claim_of_older_view_is_valid)
    ),
    "two members are a majority": Faults(replace(RULES, majority=two_are_a_majority)),
    "confirms in older views": Faults(
        replace(RULES, may_confirm=may_confirm_in_older_views)
    ),
    "a restarted member confirms": Faults(
        replace(RULES, may_confirm=may_confirm_before_first_read),
        confirm_by_address=True,
    ),
    "no seals needed": Faults(replace(RULES, is_closed=always_closed)),
    "one seal less": Faults(replace(RULES, is_closed=closed_by_one_seal_less)),
    "waits in place of seals": Faults(replace(RULES, is_closed=closed_after_a_wait)),
    "runs again when unknown": Faults(
        replace(RULES, certainly_not_run=every_refusal_means_not_run)
    ),
    "restart keeps the incarnation": Faults(keep_incarnation=True),
    "views of peers are applied": Faults(apply_peer_views=True),
    "an append's answer is trusted": Faults(trust_append=True),
    "seals without kept claims": Faults(seal_without_kept=True),
    "only the latest earlier view": Faults(only_latest_view=True),
}

# A seed that finds each fault. If it no longer does, the test tries seeds from 0 on.
FIRST_SEEDS: dict[str, int] = {
    "any claim is valid": 10886,
    "a claim of an older view is valid": 31771,
    "two members are a majority": 2646,
    "confirms in older views": 4380,
    "a restarted member confirms": 4978,
    "no seals needed": 98,
    "one seal less": 280,
    "waits in place of seals": 98,
    "runs again when unknown": 2,
    "restart keeps the incarnation": 28,
    "views of peers are applied": 23,
    "an append's answer is trusted": 120,
    "seals without kept claims": 5,
    "only the latest earlier view": 280,
}
