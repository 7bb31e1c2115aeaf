"""Decide whether a refused attempt is tried again."""

from __future__ import annotations

from dataclasses import replace

from _masticspoke.model import Call
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import REASONS
from _masticspoke.refusals import Refusal


def next_attempt(call: Call, refusal: Refusal, now: float) -> Call | Refusal:
    """Return the call for one more attempt, or the refusal that ends it.

    :param refusal: how the attempt before ended.
    """
    if not REASONS[refusal.reason].retry_elsewhere:
        return refusal
    if refusal.ran is Ran.UNKNOWN and not call.idempotent:
        return replace(refusal, reason=Reason.OUTCOME_UNKNOWN)
    if now >= call.deadline:
        return replace(refusal, reason=Reason.DEADLINE_PASSED)
    if call.allowance <= 0:
        return refusal
    return replace(call, attempt=call.attempt + 1, allowance=call.allowance - 1)
