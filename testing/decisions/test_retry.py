from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.decisions.bucket import CAPACITY_TOKENS
from _masticspoke.decisions.bucket import record_success
from _masticspoke.decisions.bucket import RetryBucket
from _masticspoke.decisions.bucket import TOKENS_PER_SUCCESS
from _masticspoke.decisions.retry import Attempt
from _masticspoke.decisions.retry import backoff_s
from _masticspoke.decisions.retry import first_attempt
from _masticspoke.decisions.retry import MAX_BACKOFF_S
from _masticspoke.decisions.retry import next_attempt
from _masticspoke.decisions.retry import with_retry_after
from _masticspoke.model import Address
from _masticspoke.model import Call
from _masticspoke.model import Ran
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

READ = Call("a", "k", "s", rank=1, deadline=10.0, idempotent=True, allowance=3)
BOOKING = replace(READ, idempotent=False)
NODES = [Address("127.0.0.1", port) for port in range(1, 5)]
FULL = Refusal(Reason.QUEUE_FULL)
FAILED = Refusal(Reason.NODE_FAILED, Ran.UNKNOWN)


def step_after(call: Call, *refusals: Refusal, now: float = 0.0) -> Attempt | Refusal:
    """Return the step after these refusals; each gives the lent retries back."""
    step: Attempt | Refusal = first_attempt(call)
    for node, refusal in zip(NODES, refusals, strict=False):
        assert isinstance(step, Attempt)
        returned = step.call.allowance
        step = next_attempt(step, node, refusal, returned, RetryBucket(), now)
    return step


def test_refused_call_is_retried_and_records_the_tried_nodes() -> None:
    step = step_after(READ, FULL, FULL)
    assert isinstance(step, Attempt)
    assert step.call.attempt == 2
    assert step.progress.tried_nodes == frozenset(NODES[:2])
    assert step.call.allowance + step.progress.reserved_retries == 1


def test_one_retry_is_left_when_a_failed_node_loses_the_lent_ones() -> None:
    step = first_attempt(READ)
    next_step = next_attempt(step, NODES[0], FAILED, 0, RetryBucket(), 0.0)
    assert isinstance(next_step, Attempt)
    assert (next_step.call.allowance, next_step.progress.reserved_retries) == (0, 0)


@pytest.mark.parametrize(
    ("call", "refusals", "reason", "ran"),
    [
        (BOOKING, [FAILED], Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN),
        (
            BOOKING,
            [Refusal(Reason.DEADLINE_PASSED, Ran.UNKNOWN)],
            Reason.OUTCOME_UNKNOWN,
            Ran.UNKNOWN,
        ),
        (
            READ,
            [FAILED, Refusal(Reason.ENTRY_LIMIT)],
            Reason.ENTRY_LIMIT,
            Ran.UNKNOWN,
        ),
        (READ, [FAILED, FULL, FULL, FULL], Reason.QUEUE_FULL, Ran.UNKNOWN),
        (BOOKING, [FULL, FULL, FULL, FULL], Reason.QUEUE_FULL, Ran.NO),
        (BOOKING, [Refusal(Reason.DEADLINE_PASSED)], Reason.DEADLINE_PASSED, Ran.NO),
    ],
)
def test_refusal_reports_whether_any_attempt_may_have_run(
    call: Call, refusals: list[Refusal], reason: Reason, ran: Ran
) -> None:
    step = step_after(call, *refusals)
    assert isinstance(step, Refusal)
    assert (step.reason, step.ran) == (reason, ran)


def test_no_retry_after_the_deadline() -> None:
    step = step_after(READ, FULL, now=READ.deadline)
    assert isinstance(step, Refusal)
    assert step.reason is Reason.DEADLINE_PASSED


def test_request_that_crashed_two_backend_servers_is_not_retried() -> None:
    crash = Refusal(Reason.BACKEND_FAILED, Ran.UNKNOWN)
    once = step_after(READ, crash)
    assert isinstance(once, Attempt)
    assert once.call.crashes == 1
    twice = step_after(READ, crash, crash)
    assert isinstance(twice, Refusal)
    assert twice.reason is Reason.QUARANTINED


@settings(max_examples=100, derandomize=True)
@given(st.lists(st.booleans(), max_size=400))
def test_retries_to_a_service_are_bounded_by_its_successes(answers: list[bool]) -> None:
    bucket = RetryBucket()
    retries = 0
    for answered in answers:
        if answered:
            record_success(bucket)
            continue
        step = next_attempt(first_attempt(READ), NODES[0], FULL, 2, bucket, 0.0)
        retries += isinstance(step, Attempt)
    assert retries <= CAPACITY_TOKENS + TOKENS_PER_SUCCESS * sum(answers)


def test_empty_bucket_ends_the_retries() -> None:
    bucket = RetryBucket()
    steps = [
        next_attempt(first_attempt(READ), NODES[0], FULL, 2, bucket, 0.0)
        for _ in range(30)
    ]
    assert sum(isinstance(s, Attempt) for s in steps) == CAPACITY_TOKENS


def test_backoff_has_full_jitter_and_a_bound() -> None:
    random = Random(1)
    waits = [backoff_s(pauses, random) for pauses in range(12) for _ in range(50)]
    assert max(waits) <= MAX_BACKOFF_S
    assert len(set(waits)) == len(waits)


def test_only_503_refusals_get_a_retry_time() -> None:
    random = Random(1)
    waits = {with_retry_after(FULL, random).retry_after_s for _ in range(20)}
    assert all(1.0 <= wait <= 2.0 for wait in waits)
    assert len(waits) == 20
    assert with_retry_after(Refusal(Reason.MALFORMED), random).retry_after_s == 0
