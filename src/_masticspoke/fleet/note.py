"""The message that reports a decision to the trail."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.events import Event


@final
@dataclass(frozen=True, slots=True)
class Note:
    """A decision and its inputs, for a log line and the metrics.

    :param fields: inputs, as fields of the log line.
    """

    event: Event
    fields: Mapping[str, object]
    importance: Importance = Importance.CHANGE
