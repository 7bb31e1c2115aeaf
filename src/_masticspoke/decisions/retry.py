"""Decide whether a refused attempt of a call is retried."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from typing import final

from _masticspoke.decisions.bucket import RetryBucket
from _masticspoke.decisions.bucket import take_token
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import REASONS
from _masticspoke.refusals import Refusal

MAX_BACKEND_CRASHES = 2
FIRST_BACKOFF_S = 0.025
MAX_BACKOFF_S = 0.4
MIN_RETRY_AFTER_S = 1.0


@final
@dataclass(frozen=True, slots=True)
class Progress:
    """State of a call after its attempts so far.

    :param tried_nodes: nodes that the call was sent to since the last pause.
    :param reserved_retries: retries not lent with the call, so that they survive the
        failure of the node that it is sent to.
    :param may_have_run: whether any earlier attempt may have run.
    :param pauses: pauses before the current attempt.
    """

    tried_nodes: frozenset[Address] = frozenset()
    reserved_retries: int = 0
    may_have_run: bool = False
    pauses: int = 0


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a call.

    :param call: the call as it is sent, with the retry allowance lent to the node.
    """

    call: Call
    progress: Progress = Progress()


def first_attempt(call: Call) -> Attempt:
    """Return the first attempt of a call."""
    return _lend_allowance(Attempt(call), call.allowance)


def next_attempt(
    attempt: Attempt,
    node: Address,
    refusal: Refusal,
    returned: int,
    bucket: RetryBucket,
    now: float,
) -> Attempt | Refusal:
    """Return the next attempt, or the refusal that ends the call.

    :param node: node that the attempt was sent to.
    :param refusal: refusal that the attempt ended with.
    :param returned: unused retries that the node gave back with the refusal.
    :param bucket: retries that this node may still send to the service.
    """
    updated = _record_refusal(attempt, node, refusal)
    allowance = attempt.progress.reserved_retries + returned
    for stop_rule in _STOP_RULES:
        final_refusal = stop_rule(updated, refusal, allowance, now)
        if final_refusal is not None:
            return cover_all_attempts(final_refusal, updated.progress)
    if not take_token(bucket):
        return cover_all_attempts(refusal, updated.progress)
    call = replace(updated.call, attempt=updated.call.attempt + 1)
    return _lend_allowance(replace(updated, call=call), allowance - 1)


def cover_all_attempts(refusal: Refusal, progress: Progress) -> Refusal:
    """Return the refusal with an outcome that holds for all attempts of the call.

    If an earlier attempt may have run, the call must not be reported as not run.
    """
    if not progress.may_have_run:
        return refusal
    return replace(refusal, ran=Ran.UNKNOWN)


def backoff_s(pauses: int, random: Random) -> float:
    """Return the pause before all nodes are tried again, with full jitter."""
    return random.random() * min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**pauses)


def with_retry_after(refusal: Refusal, random: Random) -> Refusal:
    """Return the refusal; a 503 without a retry time gets a random one."""
    if refusal.retry_after_s > 0 or REASONS[refusal.reason].status != 503:
        return refusal
    return replace(refusal, retry_after_s=MIN_RETRY_AFTER_S * (1.0 + random.random()))


def _record_refusal(attempt: Attempt, node: Address, refusal: Refusal) -> Attempt:
    crashed = refusal.reason is Reason.BACKEND_FAILED
    progress = replace(
        attempt.progress,
        tried_nodes=attempt.progress.tried_nodes | {node},
        may_have_run=attempt.progress.may_have_run or refusal.ran is Ran.UNKNOWN,
    )
    call = replace(attempt.call, crashes=attempt.call.crashes + crashed)
    return Attempt(call, progress)


def _lend_allowance(attempt: Attempt, allowance: int) -> Attempt:
    # Retries lent with a call are lost if its node fails, so one is not lent.
    reserved_retries = 1 if allowance >= 2 else 0
    return Attempt(
        replace(attempt.call, allowance=allowance - reserved_retries),
        replace(attempt.progress, reserved_retries=reserved_retries),
    )


_StopRule = Callable[[Attempt, Refusal, int, float], Refusal | None]


def _stop_if_not_repeatable(
    updated: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    if updated.call.idempotent or not updated.progress.may_have_run:
        return None
    return replace(refusal, reason=Reason.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)


def _stop_if_final(
    updated: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    return None if REASONS[refusal.reason].retry_elsewhere else refusal


def _stop_if_crashing(
    updated: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    if updated.call.crashes < MAX_BACKEND_CRASHES:
        return None
    return Refusal(Reason.QUARANTINED, Ran.UNKNOWN)


def _stop_if_late(
    updated: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    if now < updated.call.deadline:
        return None
    return replace(refusal, reason=Reason.DEADLINE_PASSED)


def _stop_if_allowance_spent(
    updated: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    return None if allowance > 0 else refusal


_STOP_RULES: tuple[_StopRule, ...] = (
    _stop_if_not_repeatable,
    _stop_if_final,
    _stop_if_crashing,
    _stop_if_late,
    _stop_if_allowance_spent,
)
