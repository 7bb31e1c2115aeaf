"""List the catalogue changes that the log retains, and which of them were accepted."""

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
    """The outcome of a change.

    ``REJECTED``: another change was accepted first. ``UNDECIDED``: a copy of the change
    may still be accepted.
    """

    ACCEPTED = "accepted"
    REJECTED = "lost"
    UNDECIDED = "open"


@final
@dataclass(frozen=True, slots=True)
class HistoryLine:
    """One change in the log.

    :param version: version that the change created, or ``None`` if it was rejected.
    """

    offset: int
    change_id: str
    author: str
    made_from: int
    version: int | None


@final
@dataclass(frozen=True, slots=True)
class History:
    """The stream ``catalogue``, as far as a command-line tool has read it.

    :param complete_from: offset from which on every change has its line. After a gap
        in the log, the offset after the last record that the first snapshot includes.
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
    """Return the history after one more read of the log.

    :param oldest: oldest offset that the log retains.
    """
    replay, _ = read_catalogue(history.replay, oldest, ())
    history = replace(history, replay=replay)
    for offset, value in records:
        history = _apply_record(history, oldest, offset, value)
    return history


def _apply_record(
    history: History,
    oldest: int,
    offset: int,
    value: Change | Snapshot[CatalogueState] | None,
) -> History:
    earlier = history.replay
    replay, _ = read_catalogue(earlier, oldest, ((offset, value),))
    history = replace(history, replay=replay)
    if isinstance(value, Snapshot) and replay.complete and not earlier.complete:
        later_changes = [(o, change) for o, change in earlier.held if o > value.offset]
        lines = _lines(value.state, later_changes)
        return replace(history, complete_from=value.offset + 1, lines=lines)
    if isinstance(value, Change) and replay.complete:
        lines = (*history.lines, *_lines(earlier.state, ((offset, value),)))
        return replace(history, lines=lines)
    return history


def _lines(
    state: CatalogueState, changes: Iterable[tuple[int, Change]]
) -> tuple[HistoryLine, ...]:
    lines = []
    for offset, change in changes:
        new_state = reduce_change(state, change, offset)
        version = None if new_state is state else new_state.catalogue.version
        lines.append(_line(offset, change, version))
        state = new_state
    return tuple(lines)


def find_change(history: History, change_id: str) -> HistoryLine | None:
    """Return the line of a change, if any; the accepted one if it was appended twice.

    The latest accepted change is found even if the log no longer retains it.
    """
    matching = [line for line in history.lines if line.change_id == change_id]
    accepted = [line for line in matching if line.version is not None]
    if accepted or matching:
        return (accepted or matching)[0]
    if history.state.change_id != change_id:
        return None
    state = history.state
    version = state.catalogue.version
    return HistoryLine(state.offset, change_id, state.author, version - 1, version)


def change_outcome(
    history: History, change: Change, read_through: int
) -> ChangeOutcome:
    """Return the outcome of a change that may have been appended to the log.

    :param history: history read after the append.
    :param read_through: offset up to which the log had been read before the append.
    """
    line = find_change(history, change.change_id)
    if line is not None and line.version is not None:
        return ChangeOutcome.ACCEPTED
    nothing_missed = (
        history.replay.complete and history.complete_from <= read_through + 1
    )
    if nothing_missed and history.state.catalogue.version > change.made_from:
        return ChangeOutcome.REJECTED
    return ChangeOutcome.UNDECIDED


def _line(offset: int, change: Change, version: int | None) -> HistoryLine:
    return HistoryLine(
        offset, change.change_id, change.author, change.made_from, version
    )
