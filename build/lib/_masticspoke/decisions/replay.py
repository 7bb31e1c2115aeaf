"""Replay a stream of the log that keeps its records for a limited time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import final
from typing import Generic
from typing import TypeVar

S = TypeVar("S")
R = TypeVar("R")
Reduce = Callable[[S, R, int], S]

MAX_HELD_RECORDS = 100_000


@final
@dataclass(frozen=True, slots=True)
class Snapshot(Generic[S]):
    """A state that stands for all records up to an offset.

    :param offset: offset of the last record that the state includes.
    """

    offset: int
    state: S


@final
@dataclass(frozen=True, slots=True)
class Replay(Generic[S, R]):
    """A stream as far as it was read.

    :param state: reduced from the records up to ``read_through``; out of date
        while ``complete`` is false.
    :param complete: false after records were missed, until a snapshot covers them.
    :param gap_end: the first offset that was read after the missed records.
    :param held: records read since the gap, with their offsets.
    """

    state: S
    read_through: int = -1
    complete: bool = True
    gap_end: int = 0
    held: tuple[tuple[int, R], ...] = field(default=())


def start_at(replay: Replay[S, R], offset: int) -> Replay[S, R]:
    """Return the replay before a read that starts at ``offset``.

    Records between the last one read and ``offset`` are no longer retained.
    """
    if offset <= replay.read_through + 1:
        return replay
    return replace(
        replay, read_through=offset - 1, complete=False, gap_end=offset, held=()
    )


def advance(
    replay: Replay[S, R],
    value: R | Snapshot[S] | None,
    offset: int,
    reduce: Reduce[S, R],
) -> Replay[S, R]:
    """Return the replay after one record; a repeated offset changes nothing.

    :param value: ``None`` for a record that does not concern the state.
    """
    if offset <= replay.read_through:
        return replay
    moved = replace(replay, read_through=offset)
    if value is None:
        return moved
    if isinstance(value, Snapshot):
        return _apply_snapshot(moved, value, reduce)
    if replay.complete:
        return replace(moved, state=reduce(replay.state, value, offset))
    return _hold(moved, value, offset)


def _apply_snapshot(
    replay: Replay[S, R], snapshot: Snapshot[S], reduce: Reduce[S, R]
) -> Replay[S, R]:
    if replay.complete or snapshot.offset < replay.gap_end - 1:
        return replay
    state = snapshot.state
    for offset, value in replay.held:
        if offset > snapshot.offset:
            state = reduce(state, value, offset)
    return replace(replay, state=state, complete=True, held=())


def _hold(replay: Replay[S, R], value: R, offset: int) -> Replay[S, R]:
    held = (*replay.held, (offset, value))
    if len(held) <= MAX_HELD_RECORDS:
        return replace(replay, held=held)
    return replace(replay, held=held[1:], gap_end=held[0][0] + 1)
