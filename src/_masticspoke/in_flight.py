"""Requests in flight at one listening socket."""

from __future__ import annotations

import asyncio
import contextlib
from typing import final


@final
class InFlight:
    """How many requests are in flight; a stop waits until there is none."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Requests that have begun and not ended."""
        return self._count

    def begin(self) -> None:
        """Count a request."""
        self._count += 1
        self._idle.clear()

    def end(self) -> None:
        """Count it as ended."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until there is none, at most ``timeout_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
