"""Open listening sockets, and finish the requests of one that is closing."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from _masticspoke.events import Event
from _masticspoke.events import log_event
from _masticspoke.in_flight import InFlight
from _masticspoke.model import Address
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.supervisor import Clock

BACKLOG = 1024


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
    stop: PlannedStop,
    clock: Clock,
    last_requests_wait_s: float,
) -> None:
    """Finish the requests of a listener that no longer accepts connections.

    Open connections are served until no request is in flight or the time of ``stop``
    is over; requests that are left then are logged.

    :param accept_queue: the listening socket; connections may wait in its queue.
    :param protocol_factory: returns the protocol of a new connection.
    :param last_requests_wait_s: wait for the first requests on the last connections.
    """
    await _serve_queue(accept_queue, protocol_factory)
    await asyncio.sleep(min(last_requests_wait_s, stop.left_s(clock())))
    # ``Server.pre_shutdown`` isn't used: it would leave idle connections open and drop
    # the requests that arrive on them.
    # A request may have begun between the end of the last one and this task's turn.
    while in_flight.count and (left_s := stop.left_s(clock())) > 0:
        await in_flight.wait_idle(left_s)
    if in_flight.count:
        log_event(Event.REQUESTS_CUT, address=address, requests=in_flight.count)


async def wait_sent(
    address: Address, open_connections: InFlight, stop: PlannedStop, clock: Clock
) -> None:
    """Wait until the connections of a drained listener, which are closing, are closed.

    A request ends when its answer is below the high-water mark of the transport's
    buffer, and the end of the process would drop the rest. A connection closes once the
    kernel has taken all of it; those that are left at the end of the stop are logged.
    """
    left_s = stop.left_s(clock())
    if left_s <= 0:
        return  # the requests that are cut have been logged
    await open_connections.wait_idle(left_s)
    if open_connections.count:
        log_event(Event.REQUESTS_CUT, address=address, requests=open_connections.count)


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
