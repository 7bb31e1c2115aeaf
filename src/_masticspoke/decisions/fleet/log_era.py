"""Decide what an answer of the log is worth after the log was restored from a copy.

The era of the log rises by one each time it is restored from an older copy. Handles a
restore that is seen late, out of order, or first through another node: hundreds of
nodes read the log anew and write again what they had there, each once for each restore.

States of backend servers, crash reports and the configuration are merged forwards only,
so an old copy takes back nothing that this node knows. What remains to be decided is
which answers count, when to read and write anew, and what an answer confirms.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

# All nodes read the log anew and write again within this time after a rise, seconds.
# 400 nodes then write 400 and read 800 times a second; the log takes 1,200 and 6,000.
MAX_SPREAD_S = 1.0
# An answer to a request sent this long after a newer era became known isn't late, but
# shows that the log really is in the older era, seconds. The longest request takes 6 s.
MAX_LATE_S = 10.0
# Furthest step of the era that another node is believed. A node that was cut off for
# many restores learns the era from the log.
MAX_TOLD_STEP = 1_000
# Largest era that is read; the header has a few digits.
MAX_ERA = 2**31


@final
@dataclass(slots=True)
class LogEra:
    """What a node knows of the eras of the log.

    :param newest: newest known era; ``None`` until one is known.
    :param learned_at: time at which it became known.
    :param disproved: highest era that other nodes told and the log itself disproved.
    :param changes: number of times that everything had to be read and written anew.
    :param asked_peers: value of ``changes`` when the last round of questions to peers
        that has ended began; -1 before the first.
    """

    newest: int | None = None
    learned_at: float = 0.0
    disproved: int = -1
    changes: int = 0
    asked_peers: int = -1


def read_era(text: str | None) -> int | None:
    """Return the era that an answer names; ``None`` if it names none."""
    if text is None or not (text.isascii() and text.isdigit()) or len(text) > 10:
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


def record_answer(state: LogEra, era: int | None, sent_at: float, now: float) -> bool:
    """Record the era of an answer of the log, and return whether the answer counts.

    A late answer, of an older era than the newest known, does not count.

    :param era: ``None`` if the answer names none.
    :param sent_at: time at which the request was sent.
    """
    if era is None or state.newest is None:
        if era is not None:
            state.newest, state.learned_at = era, now
        return True
    if era > state.newest:
        _change(state, era, now)
    if era < state.newest:
        if sent_at - state.learned_at < MAX_LATE_S:
            return False
        state.disproved = max(state.disproved, state.newest)
        _change(state, era, now)
    return True


def record_told(state: LogEra, era: int | None, now: float) -> None:
    """Record the newest era that another node knows.

    :param era: ``None`` if it knows none, or is of a build that doesn't tell.
    """
    if era is None or era <= state.disproved:
        return
    if state.newest is None:
        state.newest, state.learned_at = era, now
    elif state.newest < era <= state.newest + MAX_TOLD_STEP:
        _change(state, era, now)


def _change(state: LogEra, era: int, now: float) -> None:
    state.newest, state.learned_at = era, now
    state.changes += 1


def record_peers_asked(state: LogEra, changes: int) -> None:
    """Record that a round of questions to peers has ended.

    :param changes: value of :attr:`LogEra.changes` when the round began.
    """
    state.asked_peers = max(state.asked_peers, changes)


def may_rely_on_log(state: LogEra) -> bool:
    """Return whether a process that has just started may use what the log shows.

    The log may have been restored a moment ago and lack what peers still know. Without
    eras, nodes start as if it was never restored.
    """
    return state.newest is None or state.asked_peers >= 0


def may_confirm(
    state: LogEra, era: int | None, shown_version: int, active_version: int
) -> bool:
    """Return whether a read of the log shows that the active version is the newest.

    After a restore the log may lack the newest version, so a read that shows an older
    one than the active doesn't confirm it until peers were asked.

    :param era: era of the answer; ``None`` if it names none.
    :param shown_version: newest version in the log; 0 if there is none.
    """
    if shown_version > active_version:
        return False
    if era is not None and state.newest is not None and era < state.newest:
        return False
    if shown_version == active_version:
        return True
    return state.asked_peers >= state.changes
