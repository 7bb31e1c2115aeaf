"""Effects that admission decisions ask the gate to carry out."""

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
    """Refuse the queued or arriving call with this ticket; it never ran."""

    ticket: int
    refusal: Refusal


Effect = Run | Refuse
