"""Read the settings again when their file changes, with a signal or without."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from _masticspoke.errors import SettingsError
from _masticspoke.events import Event
from _masticspoke.fleet.note import Note
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle

# Settings may change without a signal; the file is looked at this often, seconds.
_CHECK_S = 1.0

Load = Callable[[Path], FleetSettings]


def settings_watch(parts: FleetParts, path: Path, load: Load) -> ChildBody:
    """Return the body of the task that reads the settings again.

    :param load: reads and checks the file; raises :class:`SettingsError`.
    """

    async def run(life: Lifecycle) -> None:
        hup = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, hup.set)
        life.mark_started()
        seen = _modified(path)
        while True:
            try:
                async with asyncio.timeout(_CHECK_S):
                    await hup.wait()
            except TimeoutError:
                if _modified(path) == seen:
                    continue
            hup.clear()
            seen = _modified(path)
            _reload(parts, path, load)

    return run


def _modified(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0  # it is being replaced; the next look finds it


def _reload(parts: FleetParts, path: Path, load: Load) -> None:
    """Only the service's name changes without a restart."""
    fields: dict[str, object] = {"path": str(path)}
    try:
        settings = load(path)
        fields["service"] = settings.service
        parts.service.tell(settings.service)
    except SettingsError as error:
        fields["error"] = str(error)
    parts.trail.tell(Note(Event.SETTINGS_RELOADED, fields))
