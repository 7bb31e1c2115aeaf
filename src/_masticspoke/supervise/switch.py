"""A switch that one task turns on and off, and that others can wait for."""

from __future__ import annotations

import asyncio
from typing import final


@final
class Switch:
    """A state that is on or off, initially on."""

    __slots__ = ("_off", "_on")

    def __init__(self) -> None:
        self._on = asyncio.Event()
        self._on.set()
        self._off = asyncio.Event()

    @property
    def is_on(self) -> bool:
        """Whether the switch is on."""
        return self._on.is_set()

    def turn(self, on: bool) -> None:
        """Turn the switch on or off."""
        if on:
            self._on.set()
            self._off.clear()
        else:
            self._on.clear()
            self._off.set()

    async def wait_on(self) -> None:
        """Wait until the switch is on."""
        await self._on.wait()

    async def wait_off(self) -> None:
        """Wait until the switch is off."""
        await self._off.wait()
