"""A switch that one task turns on and off, and that others can wait for."""

from __future__ import annotations

import asyncio
from typing import final


@final
class Switch:
    """A state that is on or off, initially on."""

    __slots__ = ("_on",)

    def __init__(self) -> None:
        self._on = asyncio.Event()
        self._on.set()

    @property
    def is_on(self) -> bool:
        """Whether the switch is on."""
        return self._on.is_set()

    def turn(self, on: bool) -> None:
        """Turn the switch on or off."""
        if on:
            self._on.set()
        else:
            self._on.clear()

    async def wait_on(self) -> None:
        """Wait until the switch is on."""
        await self._on.wait()
