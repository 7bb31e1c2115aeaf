"""A fleet's node: its tree, and the process that runs it."""

from __future__ import annotations

import asyncio
import gc
import signal
import time
from dataclasses import dataclass
from typing import final

import aiomisc

from _masticspoke.events import Event
from _masticspoke.fleet.branches import dispatch_branch
from _masticspoke.fleet.branches import entry_branch
from _masticspoke.fleet.branches import guard_branch
from _masticspoke.fleet.branches import knowledge_branch
from _masticspoke.fleet.branches import reporting_branch
from _masticspoke.fleet.departure import departure
from _masticspoke.fleet.note import Note
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.http_server import Handler
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor

_BRANCH_STOP_S = 1.0
# New objects before a collection, and collections of each age before the next one.
_COLLECT_AFTER = (20_000, 20, 50)


@final
@dataclass(frozen=True, slots=True)
class FrontEnd:
    """What a front end answers with.

    :param clients: requests that begin on this VM.
    :param control_plane: what the own backend server says of itself.
    :param readiness: whether clients may come.
    """

    clients: Handler
    control_plane: Handler
    readiness: Handler


def fleet_tree(parts: FleetParts, front_end: FrontEnd, watch: ChildBody) -> ChildBody:
    """Return the root supervisor of a node.

    :param watch: the task that reads the settings again when they change.
    """
    listeners = entry_branch(
        parts, front_end.clients, front_end.control_plane, front_end.readiness
    )
    leave = departure(parts.gate, parts.stop, time.monotonic)
    stop_s = parts.settings.stop_timeout_s
    branches = (
        ChildSpec("reporting", reporting_branch(parts), _BRANCH_STOP_S),
        ChildSpec("dispatch", dispatch_branch(parts), _BRANCH_STOP_S),
        ChildSpec("guard", guard_branch(parts), _BRANCH_STOP_S),
        ChildSpec("knowledge", knowledge_branch(parts), _BRANCH_STOP_S),
        ChildSpec("settings", watch),
        ChildSpec("entry", listeners, stop_s),
        ChildSpec("departure", leave, stop_s),
    )
    return supervisor("node", branches, time.monotonic)


def run_fleet_node(parts: FleetParts, tree: ChildBody) -> None:
    """Run a node until SIGTERM or SIGINT."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        life = Lifecycle()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, life.request_stop)
        settings = parts.settings
        fields = {
            "zone": settings.zone,
            "service": settings.service,
            "metrics": str(settings.metrics),
        }
        parts.trail.tell(Note(Event.NODE_STARTED, fields))
        await tree(life)

    _tune_collector()
    with aiomisc.entrypoint(log_config=False) as loop:
        loop.run_until_complete(main())


def _tune_collector() -> None:
    """Keep the collector from walking the libraries again and again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECT_AFTER)
