"""Records of the log, as its client reads them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream of the log."""

    stream: str
    offset: int
    data: bytes
