"""Requests in flight, or connections open, at one listening socket."""

from __future__ import annotations

import asyncio
import contextlib
from typing import final


@final
class InFlight:
    """Counter of what has begun and not ended; a stopping task can wait for zero."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of requests in flight, or of open connections."""
        return self._count

    def begin(self) -> None:
        """Record the start of a request or connection."""
        self._count += 1
        self._idle.clear()

    def end(self) -> None:
        """Record the end of a request or connection."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until the count is zero, at most ``timeout_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
