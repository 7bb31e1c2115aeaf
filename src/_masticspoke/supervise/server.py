"""Message loops of tasks that own state and receive messages through a mailbox."""

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
    """Dispatch each message to the handler of its type, until cancelled.

    When a handler raises, only the message that it was handling is lost and its reply
    is dropped. The rest of the batch is put back for the restarted task.

    :param state: passed to the handlers, which change it; owned by the task.
    :param handlers: the handler of each message type, called with the state, the
        message and the current time.
    :param tick_s: longest wait for a message, in seconds; ``None`` for no limit.
    :param on_tick: called after each batch of messages, and after a wait of ``tick_s``
        without a message.
    :param wait_s: called before each wait; returns the ``tick_s`` for it.
    """
    life.mark_started()
    while True:
        if wait_s is not None:
            tick_s = wait_s(state, clock())
        batch = await inbox.receive(tick_s)
        for next_index, message in enumerate(batch, 1):
            try:
                handlers[type(message)](state, message, clock())
            except Exception:
                _drop_reply(message)
                inbox.requeue(batch[next_index:])
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
    """Dispatch each message to its handler within ``Mailbox.tell``, until cancelled.

    This saves one iteration of the event loop for each message. It is meant for tasks
    that receive several messages for each request. When a handler raises, only the
    message that it was handling is lost, as with :func:`serve`.

    :param after_each: called after each message, and after ``on_timer``.
    :param wait_s: called after each message and after ``on_timer``; returns the seconds
        until ``on_timer`` is due, or ``None`` for no new timer. A pending timer is
        replaced only by one that is due earlier.
    """
    server = _ImmediateServer(
        inbox, state, handlers, clock, after_each, wait_s, on_timer
    )
    try:
        life.mark_started()
        inbox.set_handler(server.handle)
        await server.crash
    finally:
        server.close()


@final
class _ImmediateServer(Generic[S, M]):
    """One run of :func:`serve_at_once`."""

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
        self._timer_due = 0.0

    @property
    def crash(self) -> asyncio.Future[None]:
        """Future that fails with the exception of a handler or callback."""
        return self._crash

    def handle(self, message: M) -> None:
        """Handle a message; an exception ends the run through :attr:`crash`."""
        now = self._clock()
        try:
            self._handlers[type(message)](self._state, message, now)
            self._after_step(now)
        except Exception as error:
            _drop_reply(message)
            self._fail(error)

    def close(self) -> None:
        """Stop handling messages and cancel the timer."""
        self._inbox.set_handler(None)
        if self._timer is not None:
            self._timer.cancel()

    def _after_step(self, now: float) -> None:
        if self._after_each is not None:
            self._after_each(self._state, now)
        if self._wait_s is not None:
            delay_s = self._wait_s(self._state, now)
            if delay_s is not None:
                self._arm_timer(delay_s)

    def _fail(self, error: Exception) -> None:
        self._inbox.set_handler(None)
        if not self._crash.done():
            self._crash.set_exception(error)

    def _arm_timer(self, delay_s: float) -> None:
        due = self._loop.time() + max(0.0, delay_s)
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._loop.call_at(due, self._on_timer_due)

    def _on_timer_due(self) -> None:
        self._timer = None
        if self._on_timer is None:
            return
        now = self._clock()
        try:
            self._on_timer(self._state, now)
            self._after_step(now)
        except Exception as error:
            self._fail(error)


def _drop_reply(message: Any) -> None:
    reply = getattr(message, "reply", None)
    if isinstance(reply, Reply):
        reply.drop()
