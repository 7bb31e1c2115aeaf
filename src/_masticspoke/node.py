"""The node: builds the supervisor tree and runs it until a stop signal."""

from __future__ import annotations

import asyncio
import signal
import time

import aiomisc

from _masticspoke.border.settings import Settings
from _masticspoke.control.branch import control_branch
from _masticspoke.control.departure import departure
from _masticspoke.dispatch.branch import dispatch_branch
from _masticspoke.entry.branch import entry_branch
from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.guard.branch import guard_branch
from _masticspoke.metrics.branch import metrics_branch
from _masticspoke.parts import CONNECTION_CLOSE_S
from _masticspoke.parts import new_parts
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor


def node_tree(settings: Settings) -> ChildBody:
    """Return the body of the node's root supervisor.

    Each supervisor below it is named after its folder in this package.
    """
    parts = new_parts(settings)
    branches = (
        ChildSpec("metrics", metrics_branch(parts), stop_timeout_s=1.0),
        ChildSpec("control", control_branch(parts), stop_timeout_s=5.0),
        ChildSpec("dispatch", dispatch_branch(parts), stop_timeout_s=5.0),
        ChildSpec("guard", guard_branch(parts), stop_timeout_s=5.0),
        ChildSpec(
            "entry",
            entry_branch(parts),
            settings.node.stop_timeout_s + CONNECTION_CLOSE_S,
        ),
        ChildSpec(
            "departure",
            departure(parts.keeper, parts.stop, time.monotonic),
            settings.node.stop_timeout_s,
        ),
    )
    tree = supervisor("node", branches, time.monotonic)

    async def run(life: Lifecycle) -> None:
        try:
            await tree(life)
        finally:
            log_event(Event.NODE_STOPPED, node=settings.node.name)

    return run


def run_node(settings: Settings) -> None:
    """Run a node until SIGTERM or SIGINT."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        life = Lifecycle()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, life.request_stop)
        log_event(Event.NODE_STARTED, node=settings.node.name, zone=settings.node.zone)
        await node_tree(settings)(life)

    with aiomisc.entrypoint(log_config=False) as loop:
        loop.run_until_complete(main())
