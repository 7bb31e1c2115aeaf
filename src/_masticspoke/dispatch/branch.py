"""Supervisor branch of the router and the connections to other nodes."""

from __future__ import annotations

import time
from random import Random

from _masticspoke.connections import connection_owner
from _masticspoke.dispatch.router import router
from _masticspoke.parts import Parts
from _masticspoke.parts import resend_on_start
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor


def dispatch_branch(parts: Parts) -> ChildBody:
    """Return the supervisor of the router and the connections to other nodes."""
    settings = parts.settings
    node = settings.node
    connect_timeout_s = settings.limits.connect_timeout_ms / 1000
    router_body = router(
        parts.router, time.monotonic, node.peer_address, node.zone, Random()
    )
    children = (
        ChildSpec(
            "connections",
            connection_owner(parts.node_connections, connect_timeout_s),
            1.0,
        ),
        ChildSpec("router", resend_on_start(parts, router_body)),
    )
    return supervisor("dispatch", children, time.monotonic)
