"""The message that reports an event to the trail."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import final

from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.events import Event


@final
@dataclass(frozen=True, slots=True)
class EventRecord:
    """Any task to trail: an event, for a log line and the metrics.

    :param fields: fields of the log line: the inputs of the decision, or its outcome.
    :param importance: the line is subject to the rate limit of this importance.
    """

    event: Event
    fields: Mapping[str, object]
    importance: Importance = Importance.CHANGE
