"""Supervisor branch of the guard's tasks and its backend connections."""

from __future__ import annotations

import time
from random import Random

from _masticspoke.connections import connection_owner
from _masticspoke.guard.gate import gate
from _masticspoke.guard.runs import runs
from _masticspoke.guard.suspect_sender import suspect_sender
from _masticspoke.guard.suspects import suspects
from _masticspoke.parts import Parts
from _masticspoke.parts import resend_on_start
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor


def guard_branch(parts: Parts) -> ChildBody:
    """Return the supervisor of the guard's tasks and its backend connections."""
    limits = parts.settings.limits
    connect_timeout_s = limits.connect_timeout_ms / 1000
    gate_body = gate(parts.gate, time.monotonic, limits.queue_calls, Random())
    suspects_body = suspects(
        parts.suspects,
        parts.suspect_sender,
        parts.suspect_fingerprints,
        parts.settings.node.peer_address,
        time.monotonic,
    )
    sender_body = suspect_sender(
        parts.suspect_sender, parts.peer_connections, connect_timeout_s
    )
    children = (
        ChildSpec(
            "connections",
            connection_owner(parts.backend_connections, connect_timeout_s),
            1.0,
        ),
        ChildSpec("suspect_sender", sender_body),
        ChildSpec("suspects", resend_on_start(parts, suspects_body)),
        ChildSpec("runs", runs(parts.runs, time.monotonic)),
        ChildSpec("gate", resend_on_start(parts, gate_body)),
    )
    return supervisor("guard", children, time.monotonic)
