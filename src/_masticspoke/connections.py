"""The task that owns a branch's client connections."""

from __future__ import annotations

from _masticspoke.exchange import Connections
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle


def connection_owner(held: Connections, connect_timeout_s: float) -> ChildBody:
    """Return a body that keeps ``held`` open while it runs."""

    async def run(life: Lifecycle) -> None:
        await held.open(connect_timeout_s)
        try:
            life.mark_started()
            await life.stopping()
        finally:
            await held.close()

    return run
