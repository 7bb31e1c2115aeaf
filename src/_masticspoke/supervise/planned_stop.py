"""The planned stop of a node: whether it has begun, and the time that remains."""

from __future__ import annotations

from typing import final


@final
class PlannedStop:
    """State of a node's planned stop.

    :param timeout_s: seconds from the start of the stop until the requests still in
        flight are aborted.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._deadline: float | None = None

    @property
    def under_way(self) -> bool:
        """Whether the node is stopping."""
        return self._deadline is not None

    def begin(self, now: float) -> None:
        """Begin the stop; later calls have no effect."""
        if self._deadline is None:
            self._deadline = now + self._timeout_s

    def left_s(self, now: float) -> float:
        """Return the seconds that remain for requests in flight."""
        if self._deadline is None:
            return self._timeout_s
        return max(0.0, self._deadline - now)
