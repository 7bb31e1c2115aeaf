"""Detect when the log becomes unavailable, and when it is available again."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final


@final
class LogTransition(Enum):
    """A change of the log's availability."""

    UNAVAILABLE = "lost"
    AVAILABLE = "back"


@final
@dataclass(frozen=True, slots=True)
class LogState:
    """Current faults of the log's readers and writer, by the name of the source."""

    faults: Mapping[str, str] = field(default_factory=dict)

    @property
    def available(self) -> bool:
        """Whether the last request of every source succeeded."""
        return not self.faults


def record_result(
    state: LogState, source: str, fault: str
) -> tuple[LogState, LogTransition | None]:
    """Return the state after one request to the log, and the transition, if any.

    :param source: name of the reader or writer that sent the request.
    :param fault: why the request failed; ``""`` if it succeeded.
    """
    faults = {s: f for s, f in state.faults.items() if s != source}
    if fault:
        faults[source] = fault
    updated = LogState(faults)
    if updated.available == state.available:
        return updated, None
    return (
        updated,
        LogTransition.AVAILABLE if updated.available else LogTransition.UNAVAILABLE,
    )
