"""Decide which requests start before those in front of them on a connection end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

# Requests of one connection that run at the same time.
MAX_CONCURRENT = 8
# Requests of all connections of a listener that run, or have been answered, before
# their turn. Each of them holds at most one buffered answer, 1 MiB.
_MAX_AHEAD = 64
# Bytes of answers that wait for their turn beyond which no further request starts.
MAX_WAITING_BYTES = 4_194_304


@final
@dataclass(slots=True)
class AheadCounts:
    """The requests of one listener that were started before their turn.

    :param requests: those whose turn has not come yet.
    :param waiting_bytes: bodies of their answers that are complete.
    """

    requests: int = 0
    waiting_bytes: int = 0


def may_start_ahead(counts: AheadCounts, concurrent: int) -> bool:
    """Return whether one more request may start before its turn.

    :param concurrent: requests of its connection that are started and not written.
    """
    return (
        concurrent < MAX_CONCURRENT
        and counts.requests < _MAX_AHEAD
        and counts.waiting_bytes < MAX_WAITING_BYTES
    )
