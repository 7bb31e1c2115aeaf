"""A fleet's node: its tree, and the process that runs it."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
import time
from dataclasses import dataclass
from typing import final
from typing import TYPE_CHECKING

import aiomisc
from loguru import logger

from _masticspoke.events import Event
from _masticspoke.fleet.branches import dispatch_branch
from _masticspoke.fleet.branches import entry_branch
from _masticspoke.fleet.branches import guard_branch
from _masticspoke.fleet.branches import knowledge_branch
from _masticspoke.fleet.branches import reporting_branch
from _masticspoke.fleet.counts import TrailMessage
from _masticspoke.fleet.departure import departure
from _masticspoke.fleet.note import Note
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.trail import encode_line
from _masticspoke.fleet.trail import nonblocking_writer
from _masticspoke.http_server import Handler
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor

if TYPE_CHECKING:
    from loguru import Message
    from loguru import Record

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
    settings = parts.settings
    life = Lifecycle()

    def stop() -> None:
        parts.trail.tell(Note(Event.NODE_STOPPING, {}))
        life.request_stop()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop)
        fields = {
            "zone": settings.zone,
            "service": settings.service,
            "metrics": str(settings.metrics),
        }
        parts.trail.tell(Note(Event.NODE_STARTED, fields))
        await tree(life)

    _send_events_to(parts.trail)
    _tune_collector()
    with aiomisc.entrypoint(log_config=False) as loop:
        loop.run_until_complete(main())
    # The trail has ended with the tree.
    write = nonblocking_writer(sys.stdout.fileno())
    write(encode_line(settings.name, time.time(), Event.NODE_STOPPED, {}))


def _send_events_to(trail: Mailbox[TrailMessage]) -> None:
    """Have numbered events of shared code written by the trail, as all other lines."""
    by_number = {event.value.number: event for event in Event}

    def tell(message: Message) -> None:
        extra = dict(message.record["extra"])
        event = by_number[extra.pop("event")]
        fields = {name: _plain(value) for name, value in extra.items()}
        trail.tell(Note(event, fields))

    logger.remove()
    logger.add(tell, level="INFO", filter=_is_event)
    logger.add(sys.stderr, level="WARNING", filter=lambda record: not _is_event(record))


def _is_event(record: Record) -> bool:
    return "event" in record["extra"]


def _plain(value: object) -> object:
    return value if isinstance(value, str | int | float) else str(value)


def _tune_collector() -> None:
    """Keep the collector from walking the libraries again and again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECT_AFTER)
