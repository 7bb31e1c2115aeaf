"""Start and stop signals between a supervisor and one of its children."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final


@final
class Lifecycle:
    """Start and stop signals of one run of a child."""

    def __init__(self) -> None:
        self._started = asyncio.Event()
        self._stopping = asyncio.Event()

    @property
    def is_stopping(self) -> bool:
        """Whether the supervisor asked the child to stop."""
        return self._stopping.is_set()

    def mark_started(self) -> None:
        """Signal that this child has started, so that the next one may start."""
        self._started.set()

    def request_stop(self) -> None:
        """Ask the child to complete the work it has begun and return."""
        self._stopping.set()

    async def started(self) -> None:
        """Wait until the child has started."""
        await self._started.wait()

    async def stopping(self) -> None:
        """Wait until the child is asked to stop."""
        await self._stopping.wait()

    async def stops_within(self, timeout_s: float) -> bool:
        """Wait up to ``timeout_s``; return whether the child is asked to stop."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._stopping.wait()
        return self.is_stopping


ChildBody = Callable[[Lifecycle], Awaitable[None]]
