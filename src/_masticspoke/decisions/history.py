"""Which catalogue changes were accepted, as far back as the log retains them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum
from typing import final

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.catalogue import reduce_change
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.decisions.streams import CatalogueReplay
from _masticspoke.decisions.streams import new_catalogue_replay
from _masticspoke.decisions.streams import read_catalogue


@final
class ChangeOutcome(Enum):
    """What became of a change; ``OPEN`` while a copy of it may still win."""

    ACCEPTED = "accepted"
    LOST = "lost"
    UNDECIDED = "open"


@final
@dataclass(frozen=True, slots=True)
class HistoryLine:
    """One change that reached the log.

    :param version: version that it made, or ``None`` if it lost its race.
    """

    offset: int
    change_id: str
    author: str
    made_from: int
    version: int | None


@final
@dataclass(frozen=True, slots=True)
class History:
    """The stream ``catalogue`` as a tool reads it.

    :param known_from: first offset from which every change has its line; after a
        gap, that behind the offset that the first snapshot stands for.
    """

    replay: CatalogueReplay = field(default_factory=new_catalogue_replay)
    complete_from: int = 0
    lines: tuple[HistoryLine, ...] = ()

    @property
    def state(self) -> CatalogueState:
        """The catalogue in force."""
        return self.replay.state


def extend_history(
    history: History,
    oldest: int,
    records: Iterable[tuple[int, Change | Snapshot[CatalogueState] | None]],
) -> History:
    """Return the history after one read.

    :param oldest: oldest offset that the log retains.
    """
    replay, _ = read_catalogue(history.replay, oldest, ())
    history = replace(history, replay=replay)
    for offset, value in records:
        history = _read_one(history, oldest, offset, value)
    return history


def _read_one(
    history: History,
    oldest: int,
    offset: int,
    value: Change | Snapshot[CatalogueState] | None,
) -> History:
    before = history.replay
    replay, _ = read_catalogue(before, oldest, ((offset, value),))
    history = replace(history, replay=replay)
    if isinstance(value, Snapshot) and replay.complete and not before.complete:
        behind = [(o, held) for o, held in before.held if o > value.offset]
        lines = _lines(value.state, behind)
        return replace(history, complete_from=value.offset + 1, lines=lines)
    if isinstance(value, Change) and replay.complete:
        lines = (*history.lines, *_lines(before.state, ((offset, value),)))
        return replace(history, lines=lines)
    return history


def _lines(
    state: CatalogueState, changes: Iterable[tuple[int, Change]]
) -> tuple[HistoryLine, ...]:
    lines = []
    for offset, change in changes:
        after = reduce_change(state, change, offset)
        version = None if after is state else after.catalogue.version
        lines.append(_line(offset, change, version))
        state = after
    return tuple(lines)


def find_change(history: History, change_id: str) -> HistoryLine | None:
    """Return the line of a change; the accepted one if it was appended twice."""
    found = [line for line in history.lines if line.change_id == change_id]
    won = [line for line in found if line.version is not None]
    if won or found:
        return (won or found)[0]
    if history.state.change_id != change_id:
        return None
    state = history.state
    version = state.catalogue.version
    return HistoryLine(state.offset, change_id, state.author, version - 1, version)


def change_outcome(
    history: History, change: Change, read_through: int
) -> ChangeOutcome:
    """Return what the log says about a change that may have been appended.

    :param history: read after the append.
    :param read_through: offset up to which the log had been read before it.
    """
    line = find_change(history, change.change_id)
    if line is not None and line.version is not None:
        return ChangeOutcome.ACCEPTED
    all_seen = history.replay.complete and history.complete_from <= read_through + 1
    if all_seen and history.state.catalogue.version > change.made_from:
        return ChangeOutcome.LOST
    return ChangeOutcome.UNDECIDED


def _line(offset: int, change: Change, version: int | None) -> HistoryLine:
    return HistoryLine(
        offset, change.change_id, change.author, change.made_from, version
    )
