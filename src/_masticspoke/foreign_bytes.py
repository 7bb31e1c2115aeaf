"""Reports of bytes on a connection that no request accounts for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import final

from _masticspoke.decisions.answer_origin import Origin

# Bytes of a report that are kept, to recognise what the server sent.
MAX_SAMPLE_BYTES = 128


@final
class Place(Enum):
    """Where the bytes came; the value is for the log.

    ``AHEAD``: while a request waited for its answer; ``BEHIND``: in one segment with
    the end of an answer; ``IDLE``: while no request waited.
    """

    AHEAD = "ahead"
    BEHIND = "behind"
    IDLE = "idle"


@final
@dataclass(frozen=True, slots=True)
class ForeignBytes:
    """Bytes of a server that no request accounts for.

    :param server: remote address, as host and port.
    :param connection: number of the connection, unique in this process.
    :param requests: number of requests that were sent on it, the present one included.
    :param request_id: id of the request that waits, or of the last one that was
        answered; empty if it has none.
    :param sample: the first of the bytes, or the last ones of a segment if it is not
        known where they begin.
    """

    server: str
    connection: int
    requests: int
    place: Place
    origin: Origin
    request_id: str
    sample: bytes


OnForeignBytes = Callable[[ForeignBytes], None]


def ignore_foreign_bytes(report: ForeignBytes) -> None:
    """Drop a report."""
