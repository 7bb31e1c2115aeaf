"""Tell when the log as a whole stops and starts answering."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import final


@final
class LogTransition(Enum):
    """A change of the log's state."""

    LOST = "lost"
    RESTORED = "back"


@final
@dataclass(frozen=True, slots=True)
class LogState:
    """Faults of the readers and the writer, by their name."""

    faults: Mapping[str, str] = field(default_factory=dict)

    @property
    def available(self) -> bool:
        """Whether the log answered each of them last time."""
        return not self.faults


def record_result(
    state: LogState, source: str, fault: str
) -> tuple[LogState, LogTransition | None]:
    """Return the state after one try, and the change that it makes.

    :param fault: ``""`` when the log answered.
    """
    faults = {s: f for s, f in state.faults.items() if s != source}
    if fault:
        faults[source] = fault
    after = LogState(faults)
    if after.available == state.available:
        return after, None
    return after, LogTransition.RESTORED if after.available else LogTransition.LOST
