"""A planned stop: clients go elsewhere first, then what runs is finished."""

from __future__ import annotations

import asyncio

from _masticspoke.fleet.gate import GateMessage
from _masticspoke.fleet.messages import AskActiveCount
from _masticspoke.fleet.messages import StopAdmitting
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import Clock

# The platform asks for readiness every second and takes a node out after two misses.
UNREADY_S = 2.1
# Time at the end that listeners get to finish what is in flight, seconds.
_RESERVE_S = 1.2
_CHECK_S = 0.05


def departure(gate: Mailbox[GateMessage], stop: PlannedStop, clock: Clock) -> ChildBody:
    """Return the body of the task that begins a planned stop.

    Listeners stay open while clients still come, and while requests run whose own
    calls come in through them.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        await life.stopping()
        began = clock()
        stop.begin(began)
        # The guard takes work as long as clients come, so that a rolling restart
        # costs its service as little time as possible.
        await asyncio.sleep(min(UNREADY_S, stop.left_s(began) / 2))
        gate.tell(StopAdmitting())
        while await _running(gate):
            if stop.left_s(clock()) < _RESERVE_S:
                return
            await asyncio.sleep(_CHECK_S)

    return run


async def _running(gate: Mailbox[GateMessage]) -> int:
    reply: Reply[int] = Reply()
    return await ask(gate, AskActiveCount(reply), reply) or 0
