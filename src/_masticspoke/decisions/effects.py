"""Effects that the gate carries out for the admission decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

from _masticspoke.refusals import Refusal


@final
@dataclass(frozen=True, slots=True)
class Run:
    """Run the call with this ticket now."""

    ticket: int


@final
@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the queued or arriving call with this ticket, which never ran."""

    ticket: int
    refusal: Refusal


Effect = Run | Refuse
