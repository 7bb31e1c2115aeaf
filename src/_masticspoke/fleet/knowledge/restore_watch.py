"""Write again what this node had in the log after the log was restored."""

from __future__ import annotations

from random import Random

from _masticspoke.decisions.fleet.log_era import MAX_SPREAD_S
from _masticspoke.decisions.fleet.log_rate_limit import Importance
from _masticspoke.events import Event
from _masticspoke.fleet.knowledge.era_watch import EraWatch
from _masticspoke.fleet.knowledge.messages import LogRestored
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Delivery
from _masticspoke.supervise.mailbox import Mailbox

# Pause before the registry is told again, after its mailbox was full.
_FULL_PAUSE_S = 0.1


def restore_watch(
    eras: EraWatch,
    registry: Mailbox[RegistryMessage],
    trail: Mailbox[TrailMessage],
    random: Random,
) -> ChildBody:
    """Return the body of the task that tells the registry of each restore.

    The registry then writes again. When this task crashes and starts anew, it repeats
    the last of them, which is harmless.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        changes = 0
        while True:
            await eras.wait_beyond(changes)
            changes = eras.changes
            fields = {"era": eras.newest}
            trail.tell(EventRecord(Event.LOG_RESTORED, fields, Importance.CHANGE))
            # All nodes of the fleet write again at about the same time.
            await life.stops_within(random.uniform(0.0, MAX_SPREAD_S))
            while registry.tell(LogRestored()) is Delivery.FULL:
                await life.stops_within(_FULL_PAUSE_S)

    return run
