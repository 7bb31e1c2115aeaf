"""The loop of a task that owns state and is reached through its mailbox."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import final
from typing import Generic
from typing import TypeVar

from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import Clock

S = TypeVar("S")
M = TypeVar("M")
Handlers = Mapping[type[Any], Callable[[S, Any, float], None]]


async def serve(
    inbox: Mailbox[M],
    state: S,
    handlers: Handlers[S],
    clock: Clock,
    life: Lifecycle,
    *,
    tick_s: float | None = None,
    on_tick: Callable[[S, float], None] | None = None,
    wait_s: Callable[[S, float], float | None] | None = None,
) -> None:
    """Handle each message by its type, with the present time, until cancelled.

    A crash costs the message in hand: its question is dropped, the others of the
    batch wait for the restarted task.

    :param state: what the task owns; handlers change it.
    :param handlers: the handler of each message type.
    :param tick_s: call ``on_tick`` when no message came for that many seconds,
        and after each batch.
    :param wait_s: returns ``tick_s`` anew before each wait.
    """
    life.mark_started()
    while True:
        if wait_s is not None:
            tick_s = wait_s(state, clock())
        batch = await inbox.receive(tick_s)
        for position, message in enumerate(batch, 1):
            try:
                handlers[type(message)](state, message, clock())
            except Exception:
                _drop_question(message)
                inbox.give_back(batch[position:])
                raise
        if on_tick is not None:
            on_tick(state, clock())


async def serve_at_once(
    inbox: Mailbox[M],
    state: S,
    handlers: Handlers[S],
    clock: Clock,
    life: Lifecycle,
    *,
    after_each: Callable[[S, float], None] | None = None,
    wait_s: Callable[[S, float], float | None] | None = None,
    on_timer: Callable[[S, float], None] | None = None,
) -> None:
    """Handle each message by its type when it is told, until cancelled.

    For tasks that every request asks several times: it saves a turn of the event loop
    for each message. A crash costs the message in hand, as with :func:`serve`.

    :param after_each: called after each message, and after ``on_timer``.
    :param wait_s: seconds until ``on_timer`` is due, ``None`` for never; asked after
        each message.
    """
    server = _AtOnce(inbox, state, handlers, clock, after_each, wait_s, on_timer)
    try:
        life.mark_started()
        inbox.handle_with(server.handle)
        await server.crash
    finally:
        server.close()


@final
class _AtOnce(Generic[S, M]):
    """One run of a task that handles messages when they are told."""

    def __init__(
        self,
        inbox: Mailbox[M],
        state: S,
        handlers: Handlers[S],
        clock: Clock,
        after_each: Callable[[S, float], None] | None,
        wait_s: Callable[[S, float], float | None] | None,
        on_timer: Callable[[S, float], None] | None,
    ) -> None:
        self._inbox = inbox
        self._state = state
        self._handlers = handlers
        self._clock = clock
        self._after_each = after_each
        self._wait_s = wait_s
        self._on_timer = on_timer
        self._loop = asyncio.get_running_loop()
        self._crash: asyncio.Future[None] = self._loop.create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    @property
    def crash(self) -> asyncio.Future[None]:
        """Fails with what a handler raised."""
        return self._crash

    def handle(self, message: M) -> None:
        """Handle a message."""
        now = self._clock()
        try:
            self._handlers[type(message)](self._state, message, now)
            self._end(now)
        except Exception as error:
            _drop_question(message)
            self._fail(error)

    def close(self) -> None:
        """Handle nothing any more."""
        self._inbox.handle_with(None)
        if self._timer is not None:
            self._timer.cancel()

    def _end(self, now: float) -> None:
        if self._after_each is not None:
            self._after_each(self._state, now)
        if self._wait_s is not None:
            left_s = self._wait_s(self._state, now)
            if left_s is not None:
                self._arm(left_s)

    def _fail(self, error: Exception) -> None:
        self._inbox.handle_with(None)
        if not self._crash.done():
            self._crash.set_exception(error)

    def _arm(self, left_s: float) -> None:
        due = self._loop.time() + max(0.0, left_s)
        if self._timer is not None:
            if self._due <= due:
                return
            self._timer.cancel()
        self._due = due
        self._timer = self._loop.call_at(due, self._ring)

    def _ring(self) -> None:
        self._timer = None
        if self._on_timer is None:
            return
        now = self._clock()
        try:
            self._on_timer(self._state, now)
            self._end(now)
        except Exception as error:
            self._fail(error)


def _drop_question(message: Any) -> None:
    reply = getattr(message, "reply", None)
    if isinstance(reply, Reply):
        reply.drop()
