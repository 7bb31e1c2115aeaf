"""The eras of the log that this node knows, and a signal at each restore of the log."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.fleet import log_era
from _masticspoke.decisions.fleet.log_era import LogEra
from _masticspoke.supervise.supervisor import Clock


@final
@dataclass(slots=True)
class EraWatch:
    """A shared variable: each client of the log, relay or peer raises the era.

    :param state: what is known.
    """

    clock: Clock
    state: LogEra = field(default_factory=LogEra)
    _interrupted: set[asyncio.Timeout] = field(default_factory=set)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def newest(self) -> int | None:
        """The newest known era; ``None`` until one is known."""
        return self.state.newest

    @property
    def changes(self) -> int:
        """How often the log was restored, as far as this process knows."""
        return self.state.changes

    @property
    def has_asked_peers(self) -> bool:
        """Whether peers were asked since the last restore."""
        return self.state.asked_peers >= self.state.changes

    def answered(self, era: int | None, sent_at: float) -> bool:
        """Record the era of an answer of the log; return whether the answer counts."""
        changes = self.changes
        counts = log_era.record_answer(self.state, era, sent_at, self.clock())
        self._signal(changes)
        return counts

    def told(self, era: int | None) -> None:
        """Record the newest era that another node knows."""
        changes = self.changes
        log_era.record_told(self.state, era, self.clock())
        self._signal(changes)

    def peers_asked(self, changes: int) -> None:
        """Record the end of a round of questions to peers, begun at ``changes``."""
        log_era.record_peers_asked(self.state, changes)

    async def wait_beyond(self, changes: int) -> None:
        """Wait until :attr:`changes` is greater."""
        while self.changes <= changes:
            await self._changed.wait()

    @asynccontextmanager
    async def interrupting(self, changes: int) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` in the body once :attr:`changes` is greater."""
        if self.changes > changes:
            raise TimeoutError
        async with asyncio.timeout(None) as limit:
            self._interrupted.add(limit)
            try:
                yield
            finally:
                self._interrupted.discard(limit)

    def _signal(self, changes: int) -> None:
        if self.changes != changes:
            self._changed.set()
            self._changed = asyncio.Event()
            now = asyncio.get_running_loop().time()
            for limit in self._interrupted:
                limit.reschedule(now)
