"""A listening socket as a supervised task, with a graceful stop."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from _masticspoke.model import Address
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def listener(address: Address, handler: Handler, drain_s: float) -> ChildBody:
    """Return a body that serves HTTP at ``address``.

    :param drain_s: time that requests in flight get after a stop request.
    """

    async def run(life: Lifecycle) -> None:
        server = web.Server(
            handler,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
        )
        runner = web.ServerRunner(server, shutdown_timeout=drain_s)
        await runner.setup()
        try:
            site = web.TCPSite(runner, address.host, address.port, backlog=1024)
            await site.start()
            life.mark_started()
            await life.stopping()
        finally:
            await runner.cleanup()

    return run
