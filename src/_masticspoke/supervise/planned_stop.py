"""The planned stop (graceful shutdown) of a node, and the time left until its end."""

from __future__ import annotations

from typing import final


@final
class PlannedStop:
    """State of a node's planned stop, which lets requests in flight complete.

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

    def remaining_s(self, now: float) -> float | None:
        """Return :meth:`left_s`, or ``None`` if the node isn't stopping."""
        return None if self._deadline is None else self.left_s(now)

    def left_s(self, now: float) -> float:
        """Return the seconds that remain for requests in flight, at least 0.

        Before the stop begins, this is the whole timeout.
        """
        if self._deadline is None:
            return self._timeout_s
        return max(0.0, self._deadline - now)
