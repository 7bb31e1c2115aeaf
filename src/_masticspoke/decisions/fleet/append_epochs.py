"""Number the appends of one writer, so that the log does none after a later one.

An append without an answer may be done seconds later, also after the process that sent
it has ended. The log refuses an append whose epoch is lower than one that it has seen.
"""

from __future__ import annotations

# Advance after the first refusal, milliseconds, its growth with each further one, and
# how often it grows at most. It ends at 48 days.
_FIRST_ADVANCE_MS = 1_000
_ADVANCE_FACTOR = 4
_MAX_GROWTH = 11


def next_epoch(last: int, wall_ms: int, refusals: int) -> int:
    """Return the epoch of the next append.

    It is later than those of earlier processes at the same address. If the VM's clock
    has been set back, the log refuses it, and it advances faster with each refusal.

    :param last: last epoch of this process; 0 if there is none.
    :param wall_ms: current Unix time, milliseconds.
    :param refusals: appends that the log has refused in a row for their epoch.
    """
    advance_ms = 1
    if refusals:
        growth = min(refusals - 1, _MAX_GROWTH)
        advance_ms = _FIRST_ADVANCE_MS * _ADVANCE_FACTOR**growth
    return max(last, wall_ms) + advance_ms
