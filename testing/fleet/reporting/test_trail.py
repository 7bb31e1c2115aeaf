from __future__ import annotations

import asyncio

from _masticspoke.events import Event
from _masticspoke.fleet.reporting.counts import AskCounts
from _masticspoke.fleet.reporting.counts import Counts
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.fleet.reporting.trail import trail
from _masticspoke.metrics.families import Metric
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply


def test_lines_dropped_for_a_slow_reader_are_counted() -> None:
    async def scenario() -> Counts | None:
        inbox: Mailbox[TrailMessage] = Mailbox(10)
        body = trail(inbox, "n1", lambda: 0.0, lambda: 0.0, lambda data: 0)
        task = asyncio.ensure_future(body(Lifecycle()))
        await asyncio.sleep(0)
        for _ in range(10):
            inbox.tell(EventRecord(Event.SETTINGS_RELOADED, {"path": "x" * 50_000}))
        await asyncio.sleep(0.4)
        reply: Reply[Counts] = Reply()
        counts = await ask(inbox, AskCounts(reply), reply)
        task.cancel()
        return counts

    counts = asyncio.run(scenario())
    assert counts is not None
    assert counts.counters[Metric.FLEET_LINES_DROPPED, ("slow-reader",)] > 0
