"""Decide whether a refused attempt is tried again."""

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

MAX_CRASHES = 2
FIRST_BACKOFF_S = 0.025
MAX_BACKOFF_S = 0.4
MIN_RETRY_AFTER_S = 1.0


@final
@dataclass(frozen=True, slots=True)
class Progress:
    """What the attempts of one call have come to so far.

    :param tried: nodes that it was sent to since the last pause.
    :param kept: retries kept back from the allowance that travels with the call.
    :param may_have_run: whether an attempt before may have run.
    :param rounds: pauses before the present attempt.
    """

    tried_nodes: frozenset[Address] = frozenset()
    reserved_retries: int = 0
    may_have_run: bool = False
    pauses: int = 0


@final
@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a call.

    :param call: the call as it is sent, with the allowance that is lent with it.
    """

    call: Call
    progress: Progress = Progress()


def first_attempt(call: Call) -> Attempt:
    """Return the first attempt of a call."""
    return _lending(Attempt(call), call.allowance)


def next_attempt(
    attempt: Attempt,
    node: Address,
    refusal: Refusal,
    returned: int,
    bucket: RetryBucket,
    now: float,
) -> Attempt | Refusal:
    """Return one more attempt, or the refusal that ends the call.

    :param node: where the attempt went.
    :param refusal: how it ended.
    :param returned: retries that came back with the refusal.
    :param bucket: retries that the service may still get.
    """
    after = _after(attempt, node, refusal)
    allowance = attempt.progress.reserved_retries + returned
    for stop in _STOPS:
        ended = stop(after, refusal, allowance, now)
        if ended is not None:
            return cover_all_attempts(ended, after.progress)
    if not take_token(bucket):
        return cover_all_attempts(refusal, after.progress)
    call = replace(after.call, attempt=after.call.attempt + 1)
    return _lending(replace(after, call=call), allowance - 1)


def cover_all_attempts(refusal: Refusal, progress: Progress) -> Refusal:
    """Return the refusal that covers all attempts: one of them may have run."""
    if not progress.may_have_run:
        return refusal
    return replace(refusal, ran=Ran.UNKNOWN)


def backoff_s(pauses: int, random: Random) -> float:
    """Return the pause before all nodes are tried once more, with full jitter."""
    return random.random() * min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**pauses)


def with_retry_after(refusal: Refusal, random: Random) -> Refusal:
    """Return the refusal with a time after which another try makes sense."""
    if refusal.retry_after_s > 0 or REASONS[refusal.reason].status != 503:
        return refusal
    return replace(refusal, retry_after_s=MIN_RETRY_AFTER_S * (1.0 + random.random()))


def _after(attempt: Attempt, node: Address, refusal: Refusal) -> Attempt:
    crashed = refusal.reason is Reason.BACKEND_FAILED
    progress = replace(
        attempt.progress,
        tried_nodes=attempt.progress.tried_nodes | {node},
        may_have_run=attempt.progress.may_have_run or refusal.ran is Ran.UNKNOWN,
    )
    call = replace(attempt.call, crashes=attempt.call.crashes + crashed)
    return Attempt(call, progress)


def _lending(attempt: Attempt, allowance: int) -> Attempt:
    # One retry is kept back: what travels with a call is lost with its node.
    reserved_retries = 1 if allowance >= 2 else 0
    return Attempt(
        replace(attempt.call, allowance=allowance - reserved_retries),
        replace(attempt.progress, reserved_retries=reserved_retries),
    )


_Stop = Callable[[Attempt, Refusal, int, float], Refusal | None]


def _may_not_run_twice(
    after: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    if after.call.idempotent or not after.progress.may_have_run:
        return None
    return replace(refusal, reason=Reason.OUTCOME_UNKNOWN, ran=Ran.UNKNOWN)


def _is_final(
    after: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    return None if REASONS[refusal.reason].retry_elsewhere else refusal


def _crashes_backends(
    after: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    if after.call.crashes < MAX_CRASHES:
        return None
    return Refusal(Reason.QUARANTINED, Ran.UNKNOWN)


def _is_late(
    after: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    if now < after.call.deadline:
        return None
    return replace(refusal, reason=Reason.DEADLINE_PASSED)


def _is_spent(
    after: Attempt, refusal: Refusal, allowance: int, now: float
) -> Refusal | None:
    return None if allowance > 0 else refusal


_STOPS: tuple[_Stop, ...] = (
    _may_not_run_twice,
    _is_final,
    _crashes_backends,
    _is_late,
    _is_spent,
)
