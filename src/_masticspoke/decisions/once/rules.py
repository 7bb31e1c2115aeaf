"""The rules that safety rests on, as plain functions that a test can break."""

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

# A claim that only one process keeps is lost with that process.
MIN_KEEPERS = 2


def claim_is_valid(view: View, claim: Claim) -> bool:
    """Whether a claim at an offset where ``view`` is the newest one counts.

    A claim made in an earlier view does not, even if its writer is home again: its
    writer may not know what a home in between ran (seed 4978 of the explorer).
    """
    return claim.view == view.number and home_of(view, claim.digest) == claim.writer


def majority(members: int) -> int:
    """Return how many of so many members must keep a claim."""
    return max(MIN_KEEPERS, members // 2 + 1)


def seals_needed(members: int) -> int:
    """Return how many seals leave no majority that can still confirm."""
    return members - majority(members) + 1


def may_confirm(newest: View, question: ConfirmRequest, me: Identity) -> bool:
    """Whether a member may keep a claim for the home of a view."""
    claim = question.claim
    return (
        newest.number == claim.view
        and is_member(newest, me)
        and home_of(newest, claim.digest) == claim.writer
    )


def is_closed(old: OpenView, digest: str, now: float) -> bool:
    """Whether nobody can run a key in an old view without a claim known here.

    Either the key's home in that view sealed it, or so many members did that no
    majority is left; or no client sends such a key any more.
    """
    view = old.view
    return (
        len(view.members) < MIN_KEEPERS
        or home_of(view, digest) in old.seals
        or len(old.seals) >= seals_needed(len(view.members))
        or now >= old.expires_at
    )


def certainly_not_run(refusal: Refusal) -> bool:
    """Whether a run that ended so may be started again."""
    return refusal.ran is Ran.NO


def is_member(view: View, identity: Identity) -> bool:
    """Whether the very same process is a member of a view."""
    return any(identity_of(m) == identity for m in view.members)


@final
@dataclass(frozen=True, slots=True)
class Rules:
    """All rules; the explorer replaces one at a time by a broken variant."""

    claim_is_valid: Callable[[View, Claim], bool] = claim_is_valid
    majority: Callable[[int], int] = majority
    may_confirm: Callable[[View, ConfirmRequest, Identity], bool] = may_confirm
    is_closed: Callable[[OpenView, str, float], bool] = is_closed
    certainly_not_run: Callable[[Refusal], bool] = certainly_not_run


RULES = Rules()
