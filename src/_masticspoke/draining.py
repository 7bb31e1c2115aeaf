"""Open listening sockets, and finish the requests of one that is closing."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from collections.abc import Iterable

from aiohttp.base_protocol import BaseProtocol

from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.in_flight import InFlight
from _masticspoke.model import Address
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import Clock

BACKLOG = 1024
# Time between two looks at what the kernel has not taken yet.
_UNSENT_POLL_S = 0.02


def open_socket(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens at ``address``."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((address.host, address.port))
    listening.listen(BACKLOG)
    listening.setblocking(False)
    return listening


async def drain(
    address: Address,
    accept_queue: socket.socket,
    protocol_factory: Callable[[], asyncio.Protocol],
    in_flight: InFlight,
    connections: Callable[[], Iterable[BaseProtocol]],
    stop: PlannedStop,
    clock: Clock,
    last_requests_wait_s: float,
) -> None:
    """Finish the requests of a listener that no longer accepts connections.

    Open connections are served until no request is in flight and no answer is left in
    this process, or the time of ``stop`` is over; what is left then is logged.

    :param accept_queue: the listening socket; connections may wait in its queue.
    :param protocol_factory: returns the protocol of a new connection.
    :param connections: returns the open connections of the listener.
    :param last_requests_wait_s: wait for the first requests on the last connections.
    """
    await _serve_queue(accept_queue, protocol_factory)
    await asyncio.sleep(min(last_requests_wait_s, stop.left_s(clock())))
    # ``Server.pre_shutdown`` isn't used: it would leave idle connections open and drop
    # the requests that arrive on them.
    # A request may have begun between the end of the last one and this task's turn.
    while (left_s := stop.left_s(clock())) > 0:
        if in_flight.count:
            await in_flight.wait_idle(left_s)
        elif _unsent(connections()):
            await asyncio.sleep(min(_UNSENT_POLL_S, left_s))
        else:
            return
    cut = in_flight.count or len(_unsent(connections()))
    if cut:
        log_event(Event.REQUESTS_CUT, address=address, requests=cut)


def _unsent(connections: Iterable[BaseProtocol]) -> list[BaseProtocol]:
    """Return the connections with data that the kernel has not taken yet.

    A handler ends when its answer is below the high-water mark of the transport's
    buffer, and the end of the process would drop the rest.
    """
    return [
        connection
        for connection in connections
        if connection.transport is not None
        and connection.transport.get_write_buffer_size() > 0
    ]


async def _serve_queue(
    accept_queue: socket.socket, protocol_factory: Callable[[], asyncio.Protocol]
) -> None:
    """Serve the connections that wait in a listening socket's queue, and close it.

    The kernel would reset them when the socket's last descriptor is closed.
    """
    accepted = []
    with contextlib.suppress(BlockingIOError):
        while True:
            accepted.append(accept_queue.accept()[0])
    accept_queue.close()
    loop = asyncio.get_running_loop()
    for connection in accepted:
        connection.setblocking(False)
        await loop.connect_accepted_socket(protocol_factory, connection)
