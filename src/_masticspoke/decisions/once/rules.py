"""Safety rules of the at-most-once protocol, as functions that a test can replace."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import identity_of
from _masticspoke.decisions.once.model import OpenView
from _masticspoke.decisions.once.placement import home_of
from _masticspoke.model import Ran
from _masticspoke.model import View
from _masticspoke.refusals import Refusal

# A claim that a single process keeps is lost when that process ends.
MIN_KEEPERS = 2


def claim_is_valid(view: View, claim: Claim) -> bool:
    """Whether a claim read while ``view`` is the newest view grants the right to run.

    A claim made in an earlier view does not, even if its writer is the home again: a
    home of a view in between may have run the key without the writer knowing. Without
    this check, seed 31771 of the explorer runs a key twice.
    """
    return claim.view == view.number and home_of(view, claim.digest) == claim.writer


def majority(members: int) -> int:
    """Return how many of ``members`` must keep a claim that the log does not have.

    With that many, the key of the claim may be run.
    """
    return max(MIN_KEEPERS, members // 2 + 1)


def seals_needed(members: int) -> int:
    """Return how many seals leave no majority of members that can still confirm."""
    return members - majority(members) + 1


def may_confirm(newest: View, request: ConfirmRequest, me: Identity) -> bool:
    """Whether this process may confirm a claim, given the newest view it has read."""
    claim = request.claim
    return (
        newest.number == claim.view
        and is_member(newest, me)
        and home_of(newest, claim.digest) == claim.writer
    )


def is_closed(old: OpenView, digest: str, now: float) -> bool:
    """Whether ``old`` is closed for a key, so that a later home may claim the key.

    Each run of the key in a closed view, past or future, has a claim that this process
    has read from the log or keeps. A view closes for a key once the key's home in it
    has sealed it, or so many members have that no majority is left. It also counts as
    closed once the keys run in it have expired, as no client sends them again, and if
    it has fewer than ``MIN_KEEPERS`` members: no majority ever confirms a claim in it.
    """
    view = old.view
    return (
        len(view.members) < MIN_KEEPERS
        or home_of(view, digest) in old.seals
        or len(old.seals) >= seals_needed(len(view.members))
        or now >= old.expires_at
    )


def certainly_not_run(refusal: Refusal) -> bool:
    """Whether a key whose run ended with this refusal may be run again."""
    return refusal.ran is Ran.NO


def is_member(view: View, identity: Identity) -> bool:
    """Whether the process, and not just its address, is a member of a view."""
    return any(identity_of(m) == identity for m in view.members)


@final
@dataclass(frozen=True, slots=True)
class Rules:
    """All safety rules; the explorer replaces one at a time by a faulty variant."""

    claim_is_valid: Callable[[View, Claim], bool] = claim_is_valid
    majority: Callable[[int], int] = majority
    may_confirm: Callable[[View, ConfirmRequest, Identity], bool] = may_confirm
    is_closed: Callable[[OpenView, str, float], bool] = is_closed
    certainly_not_run: Callable[[Refusal], bool] = certainly_not_run


RULES = Rules()
