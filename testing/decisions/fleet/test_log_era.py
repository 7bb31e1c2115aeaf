"""Answers of a log that is restored again and again from older copies.

The model is a log, and nodes that read and write it and talk to each other. Requests
are under way for a random time, so answers come late and out of order.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest

from _masticspoke.decisions.fleet import log_era
from _masticspoke.decisions.fleet.log_era import LogEra

NODES = 4
STEPS = 120
# Longest time that a request of the model is under way, seconds.
MAX_REQUEST_S = 6.0
Accept = Callable[[LogEra, int | None, float, float], bool]


@dataclass
class ModelLog:
    era: int = 1
    version: int = 1
    entries: dict[int, int] = field(default_factory=dict)


@dataclass
class ModelNode:
    """A node that wrote ``written`` and knows ``version``.

    :param saved: whether it takes its entry to be in the log.
    :param done: restores after which it has written again.
    :param late: answers under way: time, era, version, time sent, whether of a write.
    """

    written: int = 0
    saved: bool = True
    version: int = 1
    done: int = 0
    known: LogEra = field(default_factory=LogEra)
    late: list[tuple[float, int | None, int, float, bool]] = field(default_factory=list)


def run_model(seed: int, accept: Accept = log_era.record_answer) -> None:
    """Run the model, and check that nothing is lost and nothing goes back."""
    random = Random(seed)
    log = ModelLog()
    copies = [(1, dict(log.entries))]
    nodes = [ModelNode() for _ in range(NODES)]
    newest_by_node = [0] * NODES
    now = 0.0
    for step in range(STEPS):
        now += random.uniform(0.0, 1.0)
        calm = step > STEPS * 3 // 4
        if not calm and random.random() < 0.08:
            log.version, entries = random.choice(copies)
            log.entries, log.era = dict(entries), log.era + 1
        if not calm and random.random() < 0.2:
            copies.append((log.version, dict(log.entries)))
        if not calm and random.random() < 0.1:
            log.version = max(node.version for node in nodes) + 1
        for number, node in enumerate(nodes):
            if not calm and random.random() < 0.1:
                node.written, node.saved = node.written + 1, False
            _receive(node, now, accept)
            if node.known.changes > node.done:
                node.done, node.saved = node.known.changes, False
            if random.random() < 0.5:
                _send(log, number, node, now, random)
            other = random.choice(nodes)
            log_era.record_told(node.known, other.known.newest, now)
            assert (node.known.newest or 0) >= newest_by_node[number]
            newest_by_node[number] = node.known.newest or 0
            assert node.known.newest is None or node.known.newest <= log.era
    for _ in range(4):
        now += MAX_REQUEST_S
        for number, node in enumerate(nodes):
            _receive(node, now, accept)
            if node.known.changes > node.done:
                node.done, node.saved = node.known.changes, False
            _send(log, number, node, now, random)
    for number, node in enumerate(nodes):
        assert log.entries.get(number, 0) == node.written
        assert node.saved
        assert node.known.newest == log.era


def _send(
    log: ModelLog, number: int, node: ModelNode, now: float, random: Random
) -> None:
    """Send a write if there is one, else a read; the log handles it at once."""
    writes = not node.saved
    if writes:
        log.entries[number] = max(log.entries.get(number, 0), node.written)
    era = None if random.random() < 0.1 and not writes else log.era
    arrives_at = now + random.uniform(0.0, MAX_REQUEST_S)
    value = node.written if writes else log.version
    node.late.append((arrives_at, era, value, now, writes))


def _receive(node: ModelNode, now: float, accept: Accept) -> None:
    arrived = sorted(answer for answer in node.late if answer[0] <= now)
    node.late = [answer for answer in node.late if answer[0] > now]
    for _, era, value, sent_at, was_write in arrived:
        counts = accept(node.known, era, sent_at, now)
        if node.known.changes > node.done:
            node.done, node.saved = node.known.changes, False
        if counts and was_write and value == node.written:
            if era == node.known.newest:
                node.saved = True
        elif counts:
            node.version = max(node.version, value)


@pytest.mark.parametrize("first_seed", range(0, 400, 50))
def test_nothing_is_lost_over_random_restores(first_seed: int) -> None:
    for seed in range(first_seed, first_seed + 50):
        run_model(seed)


def _ignores_rises(state: LogEra, era: int | None, sent_at: float, now: float) -> bool:
    counts = log_era.record_answer(state, era, sent_at, now)
    state.changes = 0
    return counts


def _goes_back(state: LogEra, era: int | None, sent_at: float, now: float) -> bool:
    if era is not None and state.newest is not None and era < state.newest:
        state.newest = era
    return log_era.record_answer(state, era, sent_at, now)


def _believes_a_lone_answer(
    state: LogEra, era: int | None, sent_at: float, now: float
) -> bool:
    return log_era.record_answer(state, 10**6 if era is None else era, sent_at, now)


@pytest.mark.parametrize("fault", [_ignores_rises, _goes_back, _believes_a_lone_answer])
def test_model_finds_a_planted_fault(fault: Accept) -> None:
    def run_models() -> None:
        for seed in range(100):
            run_model(seed, fault)

    with pytest.raises(AssertionError):
        run_models()


@pytest.mark.parametrize(
    "text", [None, "", "x", "-1", "1.0", "+1", " 1", "٣", "1" * 11, str(2**31 + 1)]
)
def test_malformed_era_is_unknown(text: str | None) -> None:
    assert log_era.read_era(text) is None


def test_unknown_era_changes_nothing() -> None:
    state = LogEra()
    assert log_era.record_answer(state, None, 0.0, 0.0)
    log_era.record_told(state, None, 0.0)
    assert state == LogEra()
    assert log_era.record_answer(state, 3, 0.0, 0.0)
    assert log_era.record_answer(state, None, 0.0, 0.0)
    assert (state.newest, state.changes) == (3, 0)


# One node with a wrong era made all others drop every answer of the log for ever.
def test_era_that_the_log_disproves_is_given_up_and_not_believed_again() -> None:
    state = LogEra()
    log_era.record_answer(state, 3, 0.0, 0.0)
    log_era.record_told(state, 4 + log_era.MAX_TOLD_STEP, 1.0)
    assert state.newest == 3
    log_era.record_told(state, 900, 1.0)
    assert not log_era.record_answer(state, 3, 2.0, 2.1)
    sent_at = 1.0 + log_era.MAX_LATE_S
    assert log_era.record_answer(state, 3, sent_at, sent_at)
    log_era.record_told(state, 900, sent_at)
    assert (state.newest, state.changes) == (3, 2)


# A node confirmed its keys by a log that had lost their revocation.
def test_read_after_a_restore_confirms_only_after_peers_were_asked() -> None:
    state = LogEra()
    log_era.record_answer(state, 1, 0.0, 0.0)
    log_era.record_peers_asked(state, state.changes)
    assert log_era.may_confirm(state, 1, 10, 10)
    assert not log_era.may_confirm(state, 1, 20, 10)
    log_era.record_answer(state, 2, 1.0, 1.0)
    assert log_era.may_confirm(state, 2, 10, 10)
    assert not log_era.may_confirm(state, 1, 10, 10)
    assert not log_era.may_confirm(state, 2, 9, 10)
    log_era.record_peers_asked(state, 0)  # that round began before the restore
    assert not log_era.may_confirm(state, 2, 9, 10)
    log_era.record_peers_asked(state, state.changes)
    assert log_era.may_confirm(state, 2, 9, 10)
