"""The requests of one client connection, in the order in which they are answered.

A request that may run beside others is started before its turn; its answer is written
when those in front of it have been answered.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any
from typing import final

from aiohttp import StreamReader
from aiohttp.http_parser import RawRequestMessage

from _masticspoke.decisions.fleet.body_memory import BodyMemory
from _masticspoke.decisions.fleet.body_memory import hold
from _masticspoke.decisions.fleet.body_memory import release
from _masticspoke.decisions.fleet.pipelining import AheadCounts
from _masticspoke.decisions.fleet.pipelining import may_start_ahead
from _masticspoke.http_messages import Concurrent
from _masticspoke.http_messages import NoBodyMemoryError
from _masticspoke.http_messages import Response
from _masticspoke.http_messages import Streamed
from _masticspoke.in_flight import InFlight

_HTTP_1_1 = (1, 1)


@final
@dataclass(slots=True, eq=False)
class Exchange:
    """A request that a connection received, and its answer.

    :param bodies: memory for the bodies of all requests.
    :param body_bytes: bytes of it that the request's body holds.
    :param task: runs the handler of a request that was started before its turn.
    :param is_in_turn: whether all requests in front of it have been answered.
    :param answer_begun: whether a part of the answer has been written.
    :param waiting_bytes: body of an answer that waits for its turn.
    """

    head: RawRequestMessage
    content: StreamReader
    bodies: BodyMemory
    task: asyncio.Task[Response | Streamed] | None = None
    is_in_turn: bool = False
    answer_begun: bool = False
    waiting_bytes: int = 0
    body_bytes: int = 0
    _turn: asyncio.Future[None] | None = None
    _concurrent: bool | None = None

    @property
    def closes(self) -> bool:
        """Whether the client asks to close the connection after the answer."""
        return self.head.should_close or self.head.version != _HTTP_1_1

    def runs_beside_others(self, concurrent: Concurrent) -> bool:
        """Return whether it may run at the same time as its neighbours.

        :param concurrent: is asked once.
        """
        if self._concurrent is None:
            self._concurrent = concurrent(self.head)
        return self._concurrent

    def hold_body(self, count: int) -> None:
        """Count bytes of the body before they are read.

        :raises NoBodyMemoryError: when there is no memory for them.
        """
        if not hold(self.bodies, count):
            raise NoBodyMemoryError
        self.body_bytes += count

    def release_body(self) -> None:
        """Record that the body is no longer needed."""
        if self.body_bytes:
            release(self.bodies, self.body_bytes)
            self.body_bytes = 0

    def begin_turn(self) -> None:
        """Allow the answer to be written."""
        self.is_in_turn = True
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    async def wait_for_turn(self) -> None:
        """Wait until the answer may be written."""
        if not self.is_in_turn:
            self._turn = asyncio.get_running_loop().create_future()
            await self._turn


Respond = Callable[[Exchange], Coroutine[Any, Any, Response | Streamed]]


@final
class Pipeline:
    """The requests of a connection that are not answered yet.

    :param respond: runs the handler of a request.
    :param concurrent: returns whether a request may run beside others; ``None`` to
        serve one request at a time.
    :param counts: requests of all connections that were started before their turn.
    :param in_flight: counts each request from its start until it is answered.
    """

    __slots__ = (
        "_concurrent",
        "_counts",
        "_front",
        "_in_flight",
        "_is_in_turn",
        "_is_stopped",
        "_queue",
        "_respond",
    )

    def __init__(
        self,
        respond: Respond,
        concurrent: Concurrent | None,
        counts: AheadCounts,
        in_flight: InFlight,
    ) -> None:
        self._respond = respond
        self._concurrent = concurrent
        self._counts = counts
        self._in_flight = in_flight
        # ``None`` is the last item and stands for a malformed request.
        self._queue: deque[Exchange | None] = deque()
        # The request whose turn it is.
        self._front: Exchange | None = None
        self._is_in_turn = False
        self._is_stopped = False

    def __len__(self) -> int:
        """Return the number of requests whose turn has not come."""
        return len(self._queue)

    @property
    def is_idle(self) -> bool:
        """Whether everything that was received has been answered."""
        return not self._queue and not self._is_in_turn

    @property
    def is_in_turn(self) -> bool:
        """Whether a request is being answered."""
        return self._is_in_turn

    @property
    def is_stopped(self) -> bool:
        """Whether no further request is started."""
        return self._is_stopped

    @property
    def is_next_started(self) -> bool:
        """Whether the request behind the current one has been started."""
        following = self._queue[0] if self._queue else None
        return following is not None and following.task is not None

    def append(self, exchange: Exchange | None) -> None:
        """Add a request that was received; ``None`` stands for a malformed one."""
        self._queue.append(exchange)

    def finish_turn(self) -> None:
        """Record that the current request has been answered."""
        self._front = None
        self._is_in_turn = False

    def take(self) -> Exchange | None:
        """Begin the turn of the next request and return it."""
        self._front = front = self._queue.popleft()
        self._is_in_turn = True
        if front is not None:
            self._remove_ahead(front)
            front.begin_turn()
            if self._queue:
                self.start_ahead()
        return front

    def stop(self) -> None:
        """Start no further request: the connection is about to close."""
        self._is_stopped = True

    def start_ahead(self) -> None:
        """Start the requests behind the current one that may run beside it."""
        concurrent, front = self._concurrent, self._front
        if concurrent is None or front is None or self._is_stopped or front.closes:
            return
        if not front.runs_beside_others(concurrent):
            return
        running = 1
        for exchange in self._queue:
            if exchange is None or not exchange.runs_beside_others(concurrent):
                return
            if exchange.task is None:
                # The interim answer 100 would come before the answers in front of it.
                waits = "Expect" in exchange.head.headers
                if waits or not may_start_ahead(self._counts, running):
                    return
                self._start(exchange)
            running += 1
            if exchange.closes:
                return

    def _start(self, exchange: Exchange) -> None:
        self._in_flight.begin()
        self._counts.requests += 1
        exchange.task = asyncio.create_task(self._run_ahead(exchange))

    async def _run_ahead(self, exchange: Exchange) -> Response | Streamed:
        response = await self._respond(exchange)
        if isinstance(response, Response) and not exchange.is_in_turn:
            exchange.waiting_bytes = len(response.body)
            self._counts.waiting_bytes += exchange.waiting_bytes
        return response

    def _remove_ahead(self, exchange: Exchange) -> None:
        if exchange.task is not None:
            self._counts.requests -= 1
            self._counts.waiting_bytes -= exchange.waiting_bytes

    def cancel(self) -> None:
        """Cancel the requests whose turn has not come, and drop them."""
        self._is_stopped = True
        exchanges = [exchange for exchange in self._queue if exchange is not None]
        self._queue.clear()
        for exchange in exchanges:
            if exchange.task is not None:
                self._remove_ahead(exchange)
                # A request that ends with an answer now must not count it as waiting.
                exchange.is_in_turn = True
                exchange.task.cancel()
                exchange.task.add_done_callback(self._end_cancelled)

    def _end_cancelled(self, task: asyncio.Task[Response | Streamed]) -> None:
        self._in_flight.end()
        if not task.cancelled():
            # Without a client nobody else takes the error; asyncio would log it.
            task.exception()
