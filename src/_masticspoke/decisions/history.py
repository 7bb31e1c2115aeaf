"""Which catalogue changes were accepted, as far back as the log retains them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import final

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.decisions.streams import CatalogueReplay
from _masticspoke.decisions.streams import new_catalogue_replay
from _masticspoke.decisions.streams import read_catalogue


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

    :param oldest: oldest offset that the log retains.
    """

    replay: CatalogueReplay = field(default_factory=new_catalogue_replay)
    oldest: int = 0
    lines: tuple[HistoryLine, ...] = ()

    @property
    def state(self) -> CatalogueState:
        """The catalogue in force."""
        return self.replay.state


def read_on(
    history: History,
    oldest: int,
    records: Iterable[tuple[int, Change | Snapshot[CatalogueState] | None]],
) -> History:
    """Return the history after one read.

    Changes that were read before a gap was closed by a snapshot are left out.

    :param oldest: oldest offset that the log retains.
    """
    replay, _ = read_catalogue(history.replay, oldest, ())
    lines = list(history.lines)
    for offset, value in records:
        before = replay.state
        replay, _ = read_catalogue(replay, oldest, ((offset, value),))
        if isinstance(value, Change) and replay.complete:
            won = replay.state is not before
            version = replay.state.catalogue.version if won else None
            lines.append(_line(offset, value, version))
    return replace(history, replay=replay, oldest=oldest, lines=tuple(lines))


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


def _line(offset: int, change: Change, version: int | None) -> HistoryLine:
    return HistoryLine(
        offset, change.change_id, change.author, change.made_from, version
    )
