"""A planned stop: clients move to other nodes first, then running requests end."""

from __future__ import annotations

import asyncio

from _masticspoke.fleet.guard.gate import GateMessage
from _masticspoke.fleet.guard.messages import AskActiveCount
from _masticspoke.fleet.guard.messages import StopAdmitting
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import Clock

# The platform checks readiness every second and sends no more clients to a node after
# two failures.
UNREADY_NOTICE_S = 2.1
# Time at the end of the stop for listeners to finish the requests in flight.
_LISTENERS_RESERVE_S = 1.2
_CHECK_INTERVAL_S = 0.05


def departure(gate: Mailbox[GateMessage], stop: PlannedStop, clock: Clock) -> ChildBody:
    """Return the body of the task that begins a planned stop.

    Listeners stay open while clients still arrive, and while requests run here,
    because nested requests of these runs arrive through the listeners too. Once less
    than ``_LISTENERS_RESERVE_S`` of the stop is left, they close even while requests
    run.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        await life.stopping()
        stop_began_at = clock()
        stop.begin(stop_began_at)
        # The guard admits requests while clients still arrive, so that in a rolling
        # restart the service lacks this server for as short a time as possible.
        await asyncio.sleep(min(UNREADY_NOTICE_S, stop.left_s(stop_began_at) / 2))
        gate.tell(StopAdmitting())
        while await _active_count(gate):
            if stop.left_s(clock()) < _LISTENERS_RESERVE_S:
                return
            await asyncio.sleep(_CHECK_INTERVAL_S)

    return run


async def _active_count(gate: Mailbox[GateMessage]) -> int:
    reply: Reply[int] = Reply()
    return await ask(gate, AskActiveCount(reply), reply) or 0
