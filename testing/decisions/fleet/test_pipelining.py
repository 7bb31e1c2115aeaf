from __future__ import annotations

from _masticspoke.decisions.fleet.pipelining import AheadCounts
from _masticspoke.decisions.fleet.pipelining import MAX_CONCURRENT
from _masticspoke.decisions.fleet.pipelining import MAX_WAITING_BYTES
from _masticspoke.decisions.fleet.pipelining import may_start_ahead


def test_eight_requests_of_one_connection_run_at_once() -> None:
    assert may_start_ahead(AheadCounts(), MAX_CONCURRENT - 1)
    assert not may_start_ahead(AheadCounts(), MAX_CONCURRENT)


# MEMORY: 2,000 connections of 8 requests each would hold 16,000 answers.
def test_requests_of_many_connections_are_bounded_together() -> None:
    counts = AheadCounts()
    for _ in range(2_000):
        for running in range(1, MAX_CONCURRENT):
            counts.requests += may_start_ahead(counts, running)
    assert counts.requests == 64


def test_nothing_starts_ahead_while_waiting_answers_fill_their_memory() -> None:
    assert may_start_ahead(AheadCounts(1, MAX_WAITING_BYTES - 1), 1)
    assert not may_start_ahead(AheadCounts(1, MAX_WAITING_BYTES), 1)
