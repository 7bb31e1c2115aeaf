"""The trail: the event log; owns standard output and writes a JSON line per event.

Writing never blocks: if the reader is slow, lines are dropped and counted.
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
from _masticspoke.fleet.reporting.counts import AskCounts
from _masticspoke.fleet.reporting.counts import count_dropped
from _masticspoke.fleet.reporting.counts import count_event
from _masticspoke.fleet.reporting.counts import Counts
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once

# Lines are collected for this long and written together.
_WRITE_INTERVAL_S = 0.25
# The oldest lines of the buffer are dropped when it is longer than this.
_MAX_UNWRITTEN_BYTES = 262_144
# Label under which lines dropped for a slow reader are counted, whatever their
# importance.
_SLOW_READER = "slow-reader"
# Shortest time between two reports of dropped lines.
_MIN_REPORT_INTERVAL_S = 1.0

Write = Callable[[bytes], int]


@final
@dataclass(slots=True)
class _TrailState:
    """State of the trail's task.

    :param node: name of this node, for each line.
    :param unwritten: encoded lines that are not written to standard output yet.
    :param dropped_reported_at: time of the last report of dropped lines.
    """

    node: str
    wall_clock: Callable[[], float]
    counts: Counts = field(default_factory=Counts)
    rate_limit: LogRateLimit = field(default_factory=LogRateLimit)
    unwritten: bytearray = field(default_factory=bytearray)
    dropped_reported_at: float = 0.0


def trail(
    inbox: Mailbox[TrailMessage],
    node: str,
    clock: Callable[[], float],
    wall_clock: Callable[[], float],
    write: Write,
) -> ChildBody:
    """Return the body of the trail's task.

    :param clock: monotonic, for rates.
    :param wall_clock: time of day for the lines, Unix seconds.
    :param write: writes what it can without waiting; returns how many bytes it wrote.
    """

    async def run(life: Lifecycle) -> None:
        state = _TrailState(node, wall_clock)

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
    return _WRITE_INTERVAL_S if state.unwritten else None


def _ask_counts(state: _TrailState, message: AskCounts, now: float) -> None:
    message.reply.answer(state.counts)


def _record_event(state: _TrailState, record: EventRecord, now: float) -> None:
    count_event(state.counts, record, now)
    if not allows_line(state.rate_limit, record.importance, now):
        return
    _add_line(state, record.event, record.fields)
    if now - state.dropped_reported_at >= _MIN_REPORT_INTERVAL_S:
        state.dropped_reported_at = now
        _report_dropped(state)


def _report_dropped(state: _TrailState) -> None:
    for importance, count in take_dropped(state.rate_limit).items():
        count_dropped(state.counts, importance.value, count)
        fields = {"importance": importance.value, "lines": count}
        _add_line(state, Event.LINES_DROPPED, fields)


def _add_line(state: _TrailState, event: Event, fields: Mapping[str, object]) -> None:
    state.unwritten += encode_line(state.node, state.wall_clock(), event, fields)


def encode_line(
    node: str, unix_time_s: float, event: Event, fields: Mapping[str, object]
) -> bytes:
    """Return a log line as JSON.

    :param unix_time_s: time of the event, Unix seconds.
    """
    spec = event.value
    line = {
        "t": round(unix_time_s, 3),
        "node": node,
        "event": spec.number,
        "text": spec.text,
        **fields,
    }
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"


def _flush(state: _TrailState, write: Write) -> None:
    if state.unwritten:
        written = write(bytes(state.unwritten))
        del state.unwritten[:written]
    if len(state.unwritten) > _MAX_UNWRITTEN_BYTES:
        end = state.unwritten.rfind(b"\n", 0, _MAX_UNWRITTEN_BYTES // 2) + 1
        dropped_lines = state.unwritten.count(b"\n", 0, end)
        count_dropped(state.counts, _SLOW_READER, dropped_lines)
        del state.unwritten[:end]


_HANDLERS: Handlers[_TrailState] = {EventRecord: _record_event, AskCounts: _ask_counts}


def nonblocking_writer(descriptor: int) -> Write:
    """Return a function that writes to ``descriptor`` without waiting."""
    os.set_blocking(descriptor, False)

    def write(data: bytes) -> int:
        try:
            return os.write(descriptor, data)
        except BlockingIOError:
            return 0

    return write
