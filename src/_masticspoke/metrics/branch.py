"""Supervisor branch of the recorder, which counts requests and their latency."""

from __future__ import annotations

import time
from typing import Any

from _masticspoke.metrics.recorder import recorder
from _masticspoke.parts import Parts
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import ChildSpec
from _masticspoke.supervise.supervisor import supervisor


def metrics_branch(parts: Parts) -> ChildBody:
    """Return the supervisor of the recorder."""
    mailboxes: dict[str, Mailbox[Any]] = {
        "router": parts.router,
        "gate": parts.gate,
        "runs": parts.runs,
        "suspects": parts.suspects,
        "keeper": parts.keeper,
        "writer": parts.writer,
        "gossip": parts.gossip,
        "recorder": parts.recorder,
        "home": parts.home,
        "confirmer": parts.confirmer,
    }
    body = recorder(parts.recorder, mailboxes, time.monotonic)
    return supervisor("metrics", (ChildSpec("recorder", body),), time.monotonic)
