"""The trail: owns standard output and writes one JSON line for each decision.

Writing never blocks: a reader that does not read costs lines, which are counted.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet.log_rate_limit import allows_line
from _masticspoke.decisions.fleet.log_rate_limit import LogRateLimit
from _masticspoke.decisions.fleet.log_rate_limit import take_dropped
from _masticspoke.events import Event
from _masticspoke.fleet.counts import AskCounts
from _masticspoke.fleet.counts import count_dropped
from _masticspoke.fleet.counts import count_note
from _masticspoke.fleet.counts import Counts
from _masticspoke.fleet.counts import TrailMessage
from _masticspoke.fleet.note import Note
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once

# Lines are collected for this long before they are written, seconds.
_COLLECT_S = 0.25
# Bytes that wait for a slow reader at most.
_MAX_WAITING_BYTES = 262_144
# Label of lines that a slow reader cost, whatever their importance.
_SLOW_READER = "slow-reader"
# Time between two lines that tell how many were dropped, seconds.
_TELL_DROPPED_S = 1.0


Write = Callable[[bytes], int]


@final
@dataclass(slots=True)
class _TrailState:
    node: str
    wall: Callable[[], float]
    counts: Counts = field(default_factory=Counts)
    volume: LogRateLimit = field(default_factory=LogRateLimit)
    waiting: bytearray = field(default_factory=bytearray)
    told_dropped_at: float = 0.0


def trail(
    inbox: Mailbox[TrailMessage],
    node: str,
    clock: Callable[[], float],
    wall: Callable[[], float],
    write: Write,
) -> ChildBody:
    """Return the body of the trail's task.

    :param clock: steady, for rates.
    :param wall: time of day, for people.
    :param write: writes some bytes without waiting and returns how many.
    """

    async def run(life: Lifecycle) -> None:
        state = _TrailState(node, wall)

        def flush(state: _TrailState, now: float) -> None:
            _flush(state, write)

        try:
            await serve_at_once(
                inbox, state, _HANDLERS, clock, life, wait_s=_wait_s, on_timer=flush
            )
        finally:
            _flush(state, write)

    return run


def _wait_s(state: _TrailState, now: float) -> float | None:
    return _COLLECT_S if state.waiting else None


def _ask_counts(state: _TrailState, message: AskCounts, now: float) -> None:
    message.reply.answer(state.counts)


def _collect(state: _TrailState, note: Note, now: float) -> None:
    count_note(state.counts, note, now)
    if not allows_line(state.volume, note.importance, now):
        return
    _add(state, note.event, note.fields)
    if now - state.told_dropped_at >= _TELL_DROPPED_S:
        state.told_dropped_at = now
        _tell_dropped(state)


def _tell_dropped(state: _TrailState) -> None:
    for importance, count in take_dropped(state.volume).items():
        count_dropped(state.counts, importance.value, count)
        fields = {"importance": importance.value, "lines": count}
        _add(state, Event.LINES_DROPPED, fields)


def _add(state: _TrailState, event: Event, fields: Mapping[str, object]) -> None:
    state.waiting += encode_line(state.node, state.wall(), event, fields)


def encode_line(
    node: str, wall_s: float, event: Event, fields: Mapping[str, object]
) -> bytes:
    """Return a structured log line.

    :param wall_s: time of day, Unix seconds.
    """
    spec = event.value
    line = {
        "t": round(wall_s, 3),
        "node": node,
        "event": spec.number,
        "text": spec.text,
        **fields,
    }
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"


def _flush(state: _TrailState, write: Write) -> None:
    if state.waiting:
        written = write(bytes(state.waiting))
        del state.waiting[:written]
    if len(state.waiting) > _MAX_WAITING_BYTES:
        cut = state.waiting.rfind(b"\n", 0, _MAX_WAITING_BYTES // 2) + 1
        lost = state.waiting.count(b"\n", 0, cut)
        count_dropped(state.counts, _SLOW_READER, lost)
        del state.waiting[:cut]


_HANDLERS: Handlers[_TrailState] = {Note: _collect, AskCounts: _ask_counts}


def nonblocking_writer(descriptor: int) -> Write:
    """Return a function that writes to ``descriptor`` what fits at once."""
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        try:
            return os.write(descriptor, data)
        except BlockingIOError:
            return 0

    return write
