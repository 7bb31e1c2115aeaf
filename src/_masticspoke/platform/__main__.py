"""``python -m _masticspoke.platform``: run a node on the platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from _masticspoke.errors import MasticspokeError
from _masticspoke.errors import SettingsError
from _masticspoke.platform.node import run_platform_node
from _masticspoke.platform.settings import load_fleet_settings
from _masticspoke.platform.settings import SETTINGS_VARIABLE


def main() -> int:
    """Run the node whose settings file the environment names; return the exit code."""
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
