"""Read the settings again at SIGHUP or when their file changes."""

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

# The file may change without a signal; its time of modification is checked this often.
_CHECK_INTERVAL_S = 1.0

Load = Callable[[Path], FleetSettings]


def settings_watch(parts: FleetParts, path: Path, load: Load) -> ChildBody:
    """Return the body of the task that reads the settings again.

    :param load: reads and checks the file; raises :class:`SettingsError`.
    """

    async def run(life: Lifecycle) -> None:
        sighup = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, sighup.set)
        life.mark_started()
        last_modified_ns = _modified_ns(path)
        while True:
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await sighup.wait()
            except TimeoutError:
                if _modified_ns(path) == last_modified_ns:
                    continue
            sighup.clear()
            last_modified_ns = _modified_ns(path)
            _reload(parts, path, load)

    return run


def _modified_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0  # the file is being replaced; the next check finds the new one


def _reload(parts: FleetParts, path: Path, load: Load) -> None:
    """Load the settings; only a new service name takes effect without a restart."""
    fields: dict[str, object] = {"path": str(path)}
    try:
        settings = load(path)
        fields["service"] = settings.service
        parts.service.tell(settings.service)
    except SettingsError as error:
        fields["error"] = str(error)
    parts.trail.tell(Note(Event.SETTINGS_RELOADED, fields))
