"""Replay a stream of a log that retains its records for a limited time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import final
from typing import Generic
from typing import TypeVar

StateT = TypeVar("StateT")
RecordT = TypeVar("RecordT")
Reducer = Callable[[StateT, RecordT, int], StateT]

MAX_HELD_RECORDS = 100_000


@final
@dataclass(frozen=True, slots=True)
class Snapshot(Generic[StateT]):
    """A state that replaces all records up to an offset.

    :param offset: offset of the last record that the state includes.
    """

    offset: int
    state: StateT


@final
@dataclass(frozen=True, slots=True)
class Replay(Generic[StateT, RecordT]):
    """A stream as far as it was read.

    :param state: state after the records up to ``read_through``; out of date while
        ``complete`` is false.
    :param read_through: offset of the last record read; -1 before the first.
    :param complete: false after records were missed, until a snapshot covers them.
    :param gap_end: offset of the first record after the missed ones.
    :param held: records read since the gap, with their offsets; they are applied to
        the snapshot that covers the gap.
    """

    state: StateT
    read_through: int = -1
    complete: bool = True
    gap_end: int = 0
    held: tuple[tuple[int, RecordT], ...] = field(default=())


def start_at(replay: Replay[StateT, RecordT], offset: int) -> Replay[StateT, RecordT]:
    """Return the replay before a read that starts at ``offset``.

    Records between the last one read and ``offset`` count as missed: the log no longer
    retains them.
    """
    if offset <= replay.read_through + 1:
        return replay
    return replace(
        replay, read_through=offset - 1, complete=False, gap_end=offset, held=()
    )


def advance(
    replay: Replay[StateT, RecordT],
    value: RecordT | Snapshot[StateT] | None,
    offset: int,
    reduce: Reducer[StateT, RecordT],
) -> Replay[StateT, RecordT]:
    """Return the replay after one record; a repeated offset changes nothing.

    :param value: ``None`` for a record that does not affect the state.
    """
    if offset <= replay.read_through:
        return replay
    advanced = replace(replay, read_through=offset)
    if value is None:
        return advanced
    if isinstance(value, Snapshot):
        return _apply_snapshot(advanced, value, reduce)
    if replay.complete:
        return replace(advanced, state=reduce(replay.state, value, offset))
    return _hold(advanced, value, offset)


def _apply_snapshot(
    replay: Replay[StateT, RecordT],
    snapshot: Snapshot[StateT],
    reduce: Reducer[StateT, RecordT],
) -> Replay[StateT, RecordT]:
    if replay.complete or snapshot.offset < replay.gap_end - 1:
        return replay
    state = snapshot.state
    for offset, value in replay.held:
        if offset > snapshot.offset:
            state = reduce(state, value, offset)
    return replace(replay, state=state, complete=True, held=())


def _hold(
    replay: Replay[StateT, RecordT], value: RecordT, offset: int
) -> Replay[StateT, RecordT]:
    held = (*replay.held, (offset, value))
    if len(held) <= MAX_HELD_RECORDS:
        return replace(replay, held=held)
    return replace(replay, held=held[1:], gap_end=held[0][0] + 1)
