"""Requests in flight at one listening socket."""

from __future__ import annotations

import asyncio
import contextlib
from typing import final


@final
class InFlight:
    """Counter of the requests in flight; a stopping task can wait until it is zero."""

    def __init__(self) -> None:
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Number of requests in flight."""
        return self._count

    def begin(self) -> None:
        """Record the start of a request."""
        self._count += 1
        self._idle.clear()

    def end(self) -> None:
        """Record the end of a request."""
        self._count -= 1
        if self._count == 0:
            self._idle.set()

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no request is in flight, at most ``timeout_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
