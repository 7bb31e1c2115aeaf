"""``python -m _masticspoke.platform``: run a node on the platform."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

from _masticspoke.errors import MasticspokeError
from _masticspoke.errors import SettingsError


def _prepare_imports() -> None:
    """Shorten the import of the libraries, which each start of a node pays.

    aiohttp parses all certificates of the system when it is imported, though a node
    makes no TLS connection; OpenSSL takes their file from the environment. Garbage
    collection is enabled again before the node runs.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    gc.disable()


def _ignore_early_reloads() -> None:
    """Ignore SIGHUP until the node handles it; its default action ends the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> int:
    """Run the node whose settings file the environment names; return the exit code."""
    _ignore_early_reloads()
    _prepare_imports()
    from _masticspoke.platform.node import run_platform_node
    from _masticspoke.platform.settings import load_fleet_settings
    from _masticspoke.platform.settings import SETTINGS_VARIABLE

    try:
        settings_path = os.environ.get(SETTINGS_VARIABLE)
        if not settings_path:
            raise SettingsError(
                f"{SETTINGS_VARIABLE} is not set",
                "set it to the path of the settings file",
            )
        path = Path(settings_path)
        run_platform_node(load_fleet_settings(path), path)
    except MasticspokeError as error:
        sys.stderr.write(f"masticspoke: {error}\n")
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
