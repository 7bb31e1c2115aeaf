"""``masticspoke node``: run a node."""

from __future__ import annotations

import argparse
import sys

from loguru import logger

from _masticspoke.border.settings import load_settings
from _masticspoke.border.settings import LoggingSection
from _masticspoke.node import run_node


def start_node(options: argparse.Namespace) -> int:
    """Run a node with the given settings file."""
    settings = load_settings(options.settings)
    _configure_logging(settings.logging)
    run_node(settings)
    return 0


def _configure_logging(section: LoggingSection) -> None:
    logger.remove()
    logger.add(sys.stderr, level=section.level, serialize=section.json_lines)
