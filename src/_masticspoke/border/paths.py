"""Paths of the control requests that a node answers itself.

They are served at its peer and backend addresses.
"""

from __future__ import annotations

CONTROL_PREFIX = "/.masticspoke/"
STATUS_PATH = f"{CONTROL_PREFIX}status"
METRICS_PATH = f"{CONTROL_PREFIX}metrics"
KEEP_PATH = f"{CONTROL_PREFIX}keep"
BACKEND_PATH = f"{CONTROL_PREFIX}backend"
GOSSIP_PATH = f"{CONTROL_PREFIX}gossip"
CATALOGUE_PATH = f"{CONTROL_PREFIX}catalogue"
MEMBERS_PATH = f"{CONTROL_PREFIX}members"
SUSPECTS_PATH = f"{CONTROL_PREFIX}suspects"
PING_PATH = f"{CONTROL_PREFIX}ping"
PROBE_PATH = f"{CONTROL_PREFIX}probe"
