"""The planned stop of a node: under way or not, and how long it may still take."""

from __future__ import annotations

from typing import final


@final
class PlannedStop:
    """State of a node's planned stop.

    :param timeout_s: time from its beginning until requests in flight are cut.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._ends: float | None = None

    @property
    def under_way(self) -> bool:
        """Whether the node is stopping."""
        return self._ends is not None

    def begin(self, now: float) -> None:
        """Begin the stop; a second call changes nothing."""
        if self._ends is None:
            self._ends = now + self._timeout_s

    def left_s(self, now: float) -> float:
        """Return the seconds that requests in flight still get."""
        if self._ends is None:
            return self._timeout_s
        return max(0.0, self._ends - now)
