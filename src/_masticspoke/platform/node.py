"""The node on the platform: the fleet's tree with this adapter's translations."""

from __future__ import annotations

import asyncio
import gc
import signal
import time
from pathlib import Path

import aiomisc

from _masticspoke.errors import SettingsError
from _masticspoke.events import Event
from _masticspoke.fleet.branches import dispatch_branch
from _masticspoke.fleet.branches import entry_branch
from _masticspoke.fleet.branches import front_port
from _masticspoke.fleet.branches import guard_branch
from _masticspoke.fleet.branches import knowledge_branch
from _masticspoke.fleet.branches import reporting_branch
from _masticspoke.fleet.departure import departure
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.note import Note
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.parts import new_fleet_parts
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.platform.backend_headers import read_health
from _masticspoke.platform.backend_headers import read_not_run
from _masticspoke.platform.backend_headers import set_backend_headers
from _masticspoke.platform.configuration import decode_configuration
from _masticspoke.platform.control_plane import control_plane_handler
from _masticspoke.platform.ingress import ingress_handler
from _masticspoke.platform.ingress import readiness_handler
from _masticspoke.platform.names import CONFIGURATION_KEY
from _masticspoke.platform.names import CONFIGURATION_STREAM
from _masticspoke.platform.names import REQUEST_ID
from _masticspoke.platform.settings import load_fleet_settings
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor

# Settings may change without a signal; the file is looked at this often, seconds.
_SETTINGS_CHECK_S = 1.0
_BRANCH_STOP_S = 1.0
# New objects before a collection, and collections of each age before the next one.
_COLLECT_AFTER = (20_000, 20, 50)

DIALECT = Dialect(
    echo_header=REQUEST_ID,
    set_backend_headers=set_backend_headers,
    read_not_run=read_not_run,
    read_health=read_health,
    configuration_stream=CONFIGURATION_STREAM,
    configuration_key=CONFIGURATION_KEY,
    decode_configuration=decode_configuration,
)


def platform_tree(parts: FleetParts, path: Path) -> ChildBody:
    """Return the root supervisor of a node on the platform.

    :param path: the settings file.
    """
    settings = parts.settings
    ingress = ingress_handler(front_port(parts))
    control = control_plane_handler(parts.registry, parts.trail, settings.backend)
    readiness = readiness_handler(parts.configuration, parts.stop)
    listeners = entry_branch(parts, ingress, control, readiness)
    leave = departure(parts.gate, parts.stop, time.monotonic)
    stop_s = settings.stop_timeout_s
    branches = (
        ChildSpec("reporting", reporting_branch(parts), _BRANCH_STOP_S),
        ChildSpec("dispatch", dispatch_branch(parts), _BRANCH_STOP_S),
        ChildSpec("guard", guard_branch(parts), _BRANCH_STOP_S),
        ChildSpec("knowledge", knowledge_branch(parts), _BRANCH_STOP_S),
        ChildSpec("settings", settings_watch(parts, path)),
        ChildSpec("entry", listeners, stop_s),
        ChildSpec("departure", leave, stop_s),
    )
    return supervisor("node", branches, time.monotonic)


def settings_watch(parts: FleetParts, path: Path) -> ChildBody:
    """Return the body of the task that reads the settings again when they change."""

    async def run(life: Lifecycle) -> None:
        hup = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, hup.set)
        life.mark_started()
        seen = _modified(path)
        while True:
            try:
                async with asyncio.timeout(_SETTINGS_CHECK_S):
                    await hup.wait()
            except TimeoutError:
                if _modified(path) == seen:
                    continue
            hup.clear()
            seen = _modified(path)
            _reload(parts, path)

    return run


def _modified(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(parts: FleetParts, path: Path) -> None:
    """Read the settings again; only the service's name changes without a restart."""
    fields: dict[str, object] = {"path": str(path)}
    try:
        settings = load_fleet_settings(path)
        fields["service"] = settings.service
        parts.service.tell(settings.service)
    except SettingsError as error:
        fields["error"] = str(error)
    parts.trail.tell(Note(Event.SETTINGS_RELOADED, fields))


def run_platform_node(settings: FleetSettings, path: Path) -> None:
    """Run a node until SIGTERM or SIGINT."""
    parts = new_fleet_parts(settings, DIALECT)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        life = Lifecycle()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, life.request_stop)
        fields = {
            "zone": settings.zone,
            "service": settings.service,
            "metrics": str(settings.metrics),
        }
        parts.trail.tell(Note(Event.NODE_STARTED, fields))
        await platform_tree(parts, path)(life)

    _tune_collector()
    with aiomisc.entrypoint(log_config=False) as loop:
        loop.run_until_complete(main())


def _tune_collector() -> None:
    """Keep the collector from walking the libraries again and again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECT_AFTER)
