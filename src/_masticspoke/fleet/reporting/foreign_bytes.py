"""Reports of bytes that no request accounts for, as events for the trail."""

from __future__ import annotations

from enum import Enum
from typing import final

from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.events import Event
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.foreign_bytes import ForeignBytes
from _masticspoke.foreign_bytes import MAX_SAMPLE_BYTES
from _masticspoke.foreign_bytes import OnForeignBytes
from _masticspoke.supervise.mailbox import Mailbox


@final
class Pool(Enum):
    """The pool of a connection; the value is for logs and metrics."""

    BACKEND = "backend"
    SINGLE_USE_BACKEND = "backend-single-use"
    NODE = "node"


def foreign_bytes_reporter(trail: Mailbox[TrailMessage], pool: Pool) -> OnForeignBytes:
    """Return a function that passes reports from a pool's connections to the trail.

    It doesn't wait, and if the trail's mailbox is full it drops the report.
    """

    def tell(report: ForeignBytes) -> None:
        trail.tell(_record(report, pool))

    return tell


def _record(report: ForeignBytes, pool: Pool) -> EventRecord:
    fields = {
        "id": report.request_id,
        "server": report.server,
        "pool": pool.value,
        "connection": report.connection,
        "requests": report.requests,
        "place": report.place.value,
        "origin": report.origin.value,
        "sample": _printable(report.sample[:MAX_SAMPLE_BYTES]),
    }
    return EventRecord(Event.FOREIGN_BYTES, fields, Importance.FAILURE)


def _printable(data: bytes) -> str:
    return data.decode("latin-1").encode("unicode_escape").decode("ascii")
