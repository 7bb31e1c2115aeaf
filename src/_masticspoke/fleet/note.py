"""What a task tells the trail of a decision."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.events import Event


@final
@dataclass(frozen=True, slots=True)
class Note:
    """A decision, with the inputs that decided it."""

    event: Event
    fields: Mapping[str, object]
    importance: Importance = Importance.CHANGE
