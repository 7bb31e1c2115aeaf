"""The first step of a planned stop: notify other nodes before sockets close."""

from __future__ import annotations

import asyncio

from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.messages.control import NodeStopping
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import Clock

# Longer than a gossip round of the default settings, so that other nodes have stopped
# sending requests when sockets close.
NOTICE_S = 1.5


def departure(
    keeper: Mailbox[KeeperMessage], stop: PlannedStop, clock: Clock
) -> ChildBody:
    """Return the body of the task that is stopped first.

    The guard refuses new work at once. Other nodes are notified by the log, by gossip
    or by such a refusal. Requests in flight continue.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        await life.stopping()
        stop.begin(clock())
        log_event(Event.NODE_STOPPING)
        keeper.tell(NodeStopping())
        await asyncio.sleep(min(NOTICE_S, stop.left_s(clock()) / 2))

    return run
