"""Records of requests that must not run twice, at the guard that receives them.

Handles an answer that is lost between two nodes: the sender then asks the guard for the
status of its request. A request without a record is taken as not received and barred
from then on, so that the sender can send it to another backend server.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final

# Time for which a record is kept after its request has ended or been barred, seconds:
# the default time limit of a request.
RETENTION_S = 30.0
# Largest number of ended requests, and of barred ones; the oldest are removed first.
MAX_RECORDS = 4_096


@final
class RunStatus(Enum):
    """Status of a request at its guard.

    A barred request has not run and will not run.
    """

    BARRED = "never"
    RUNNING = "running"
    ENDED = "ended"


@final
@dataclass(slots=True)
class RunRecords:
    """Requests that must not run twice, by id.

    :param running: requests whose run has started and not ended.
    :param ended: time at which each run ended.
    :param barred: start of each barred request's retention; it may be in the future.
    """

    running: set[str] = field(default_factory=set)
    ended: dict[str, float] = field(default_factory=dict)
    barred: dict[str, float] = field(default_factory=dict)


def begin(records: RunRecords, request_id: str, now: float) -> RunStatus | None:
    """Mark a received request as running and return ``None``.

    A request that is recorded already may not run; its status is returned.
    """
    _expire(records, now)
    if request_id in records.barred:
        return RunStatus.BARRED
    if request_id in records.running:
        return RunStatus.RUNNING
    if request_id in records.ended:
        return RunStatus.ENDED
    records.running.add(request_id)
    return None


def end(records: RunRecords, request_id: str, now: float) -> None:
    """Record that a request's run has ended."""
    records.running.discard(request_id)
    records.ended[request_id] = now


def look_up_or_bar(
    records: RunRecords, request_id: str, asked_after_s: float, now: float
) -> RunStatus:
    """Return the status of a request; bar it if there is no record of it.

    A request whose record has been removed, by age or by number, is barred like one
    that has not been received.

    :param asked_after_s: time since the request was sent; if it is barred, its record
        is kept longer by this time.
    """
    _expire(records, now)
    if request_id in records.running:
        return RunStatus.RUNNING
    if request_id in records.ended:
        return RunStatus.ENDED
    records.barred[request_id] = now + asked_after_s
    return RunStatus.BARRED


def started_before_send(uptime_s: float, asked_after_s: float) -> bool:
    """Return whether a guard has been up since before a request was sent.

    If not, it may have run the request and lost the record at its restart.

    :param uptime_s: time since the guard started.
    :param asked_after_s: time since the request was sent.
    """
    return uptime_s > asked_after_s


def _expire(records: RunRecords, now: float) -> None:
    for times in (records.ended, records.barred):
        while times:
            oldest = next(iter(times))
            if now - times[oldest] < RETENTION_S and len(times) <= MAX_RECORDS:
                break
            del times[oldest]
