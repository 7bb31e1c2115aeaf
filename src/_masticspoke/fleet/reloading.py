"""Reload the settings at SIGHUP or when their file changes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from _masticspoke.errors import SettingsError
from _masticspoke.events import Event
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle

# The file may change without a signal, so its modification time is polled.
_CHECK_INTERVAL_S = 1.0

LoadSettings = Callable[[Path], FleetSettings]


def settings_watch(
    parts: FleetParts, path: Path, load_settings: LoadSettings
) -> ChildBody:
    """Return the body of the task that reloads the settings.

    :param load_settings: reads and checks the file; raises :class:`SettingsError` if
        the file cannot be read or is invalid.
    """
    # A change before the task starts comes with a signal that is not handled yet.
    loaded_ns = _modified_ns(path)

    async def run(life: Lifecycle) -> None:
        sighup = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, sighup.set)
        life.mark_started()
        last_modified_ns = loaded_ns
        while True:
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await sighup.wait()
            except TimeoutError:
                if _modified_ns(path) == last_modified_ns:
                    continue
            sighup.clear()
            last_modified_ns = _modified_ns(path)
            _reload(parts, path, load_settings)

    return run


def _modified_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0  # the file is being replaced; the next check finds the new one


def _reload(parts: FleetParts, path: Path, load_settings: LoadSettings) -> None:
    """Reload the settings; only a new service name takes effect without a restart."""
    fields: dict[str, object] = {"path": str(path)}
    try:
        settings = load_settings(path)
        fields["service"] = settings.service
        parts.service.tell(settings.service)
    except SettingsError as error:
        fields["error"] = str(error)
    parts.trail.tell(EventRecord(Event.SETTINGS_RELOADED, fields))
