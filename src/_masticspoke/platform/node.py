"""A node on the platform: the fleet's supervisor tree with this adapter's handlers."""

from __future__ import annotations

from pathlib import Path

from _masticspoke.fleet.branches import front_port
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.node import fleet_tree
from _masticspoke.fleet.node import FrontEnd
from _masticspoke.fleet.node import run_fleet_node
from _masticspoke.fleet.parts import FleetParts
from _masticspoke.fleet.parts import new_fleet_parts
from _masticspoke.fleet.reloading import settings_watch
from _masticspoke.fleet.settings import FleetSettings
from _masticspoke.platform.backend_headers import read_health
from _masticspoke.platform.backend_headers import read_not_run
from _masticspoke.platform.backend_headers import read_notice
from _masticspoke.platform.backend_headers import set_backend_headers
from _masticspoke.platform.configuration import decode_configuration
from _masticspoke.platform.control_plane import control_plane_handler
from _masticspoke.platform.ingress import concurrency
from _masticspoke.platform.ingress import ingress_handler
from _masticspoke.platform.ingress import readiness_handler
from _masticspoke.platform.names import CONFIGURATION_KEY
from _masticspoke.platform.names import CONFIGURATION_STREAM
from _masticspoke.platform.names import REQUEST_ID
from _masticspoke.platform.names import SERVERS_STREAM
from _masticspoke.platform.settings import load_fleet_settings
from _masticspoke.supervise.lifecycle import ChildBody

DIALECT = Dialect(
    echo_header=REQUEST_ID,
    set_backend_headers=set_backend_headers,
    read_not_run=read_not_run,
    read_notice=read_notice,
    read_health=read_health,
    servers_stream=SERVERS_STREAM,
    configuration_stream=CONFIGURATION_STREAM,
    configuration_key=CONFIGURATION_KEY,
    decode_configuration=decode_configuration,
)


def platform_tree(parts: FleetParts, path: Path) -> ChildBody:
    """Return the root supervisor of a node on the platform.

    :param path: settings file, which is read again at SIGHUP or when it changes.
    """
    front_end = FrontEnd(
        ingress_handler(front_port(parts)),
        control_plane_handler(parts.registry, parts.trail, parts.settings.backend),
        readiness_handler(parts.configuration, parts.stop),
        concurrency(parts.configuration),
    )
    watch = settings_watch(parts, path, load_fleet_settings)
    return fleet_tree(parts, front_end, watch)


def run_platform_node(settings: FleetSettings, path: Path) -> None:
    """Run a node until SIGTERM or SIGINT."""
    parts = new_fleet_parts(settings, DIALECT)
    run_fleet_node(parts, platform_tree(parts, path))
