"""A fleet's node: its supervisor tree, and the process that runs it."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
import time
from dataclasses import dataclass
from typing import final
from typing import TYPE_CHECKING

import uvloop
from loguru import logger

from _masticspoke.events import Event
from _masticspoke.fleet.branches import dispatch_branch
from _masticspoke.fleet.branches import entry_branch
from _masticspoke.fleet.branches import guard_branch
from _masticspoke.fleet.branches import knowledge_branch
from _masticspoke.fleet.branches import reporting_branch
from _masticspoke.fleet.departure import departure
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.fleet.reporting.trail import encode_line
from _masticspoke.fleet.reporting.trail import nonblocking_writer
from _masticspoke.http_server import Concurrent
from _masticspoke.http_server import Handler
from _masticspoke.supervise.clocks import boot_clock
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor

if TYPE_CHECKING:
    from loguru import Message
    from loguru import Record

_BRANCH_STOP_TIMEOUT_S = 1.0
# For gc.set_threshold(): new objects before a collection, then the number of
# collections of one generation before the next older one is collected.
_GC_THRESHOLDS = (20_000, 20, 50)


@final
@dataclass(frozen=True, slots=True)
class FrontEnd:
    """Handlers of the requests that a platform's adapter answers.

    :param clients: handles requests from clients and from the local backend server.
    :param control_plane: handles the local backend server's heartbeats and
        deregistrations.
    :param readiness: handles the platform's readiness checks.
    :param concurrent: returns whether a request of a client may run beside others of
        its connection.
    """

    clients: Handler
    control_plane: Handler
    readiness: Handler
    concurrent: Concurrent


def fleet_tree(parts: FleetParts, front_end: FrontEnd, watch: ChildBody) -> ChildBody:
    """Return the root supervisor of a node.

    :param watch: body of the task that reads the settings again when they change.
    """
    listeners = entry_branch(
        parts,
        front_end.clients,
        front_end.control_plane,
        front_end.readiness,
        front_end.concurrent,
    )
    departure_body = departure(parts.gate, parts.stop, boot_clock)
    stop_s = parts.settings.stop_timeout_s
    branches = (
        ChildSpec("reporting", reporting_branch(parts), _BRANCH_STOP_TIMEOUT_S),
        ChildSpec("dispatch", dispatch_branch(parts), _BRANCH_STOP_TIMEOUT_S),
        ChildSpec("guard", guard_branch(parts), _BRANCH_STOP_TIMEOUT_S),
        ChildSpec("knowledge", knowledge_branch(parts), _BRANCH_STOP_TIMEOUT_S),
        ChildSpec("settings", watch),
        ChildSpec("entry", listeners, stop_s),
        ChildSpec("departure", departure_body, stop_s),
    )
    return supervisor("node", branches, boot_clock)


def run_fleet_node(parts: FleetParts, tree: ChildBody) -> None:
    """Run a node until SIGTERM or SIGINT."""
    settings = parts.settings
    life = Lifecycle()

    def stop() -> None:
        parts.trail.tell(EventRecord(Event.NODE_STOPPING, {}))
        life.request_stop()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stop)
        fields = {
            "zone": settings.zone,
            "service": settings.service,
            "metrics": str(settings.metrics),
        }
        parts.trail.tell(EventRecord(Event.NODE_STARTED, fields))
        await tree(life)

    _send_events_to_trail(parts.trail)
    _tune_garbage_collector()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())
    # The trail's task has ended with the tree, so the last line is written here.
    write = nonblocking_writer(sys.stdout.fileno())
    write(encode_line(settings.name, time.time(), Event.NODE_STOPPED, {}))


def _send_events_to_trail(trail: Mailbox[TrailMessage]) -> None:
    """Forward to the trail the numbered events that shared code logs with loguru."""
    by_number = {event.value.number: event for event in Event}

    def send_to_trail(message: Message) -> None:
        extra = dict(message.record["extra"])
        event = by_number[extra.pop("event")]
        fields = {name: _to_json_value(value) for name, value in extra.items()}
        trail.tell(EventRecord(event, fields))

    logger.remove()
    logger.add(send_to_trail, level="INFO", filter=_is_event)
    logger.add(sys.stderr, level="WARNING", filter=lambda record: not _is_event(record))


def _is_event(record: Record) -> bool:
    return "event" in record["extra"]


def _to_json_value(value: object) -> object:
    return value if isinstance(value, str | int | float) else str(value)


def _tune_garbage_collector() -> None:
    """Exclude the imported libraries from collections, and collect less often."""
    gc.enable()
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
