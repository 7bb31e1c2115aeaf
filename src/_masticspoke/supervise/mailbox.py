"""Bounded mailboxes, and replies to the messages sent through them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import final
from typing import Generic
from typing import TypeVar

from _masticspoke.errors import TaskCrashedError

M = TypeVar("M")
T = TypeVar("T")


@final
class Delivery(Enum):
    """The result of :meth:`Mailbox.tell`."""

    ACCEPTED = "accepted"
    FULL = "full"


@final
class Mailbox(Generic[M]):
    """Bounded queue with one receiving task.

    While a handler is set, :meth:`tell` calls it directly instead of queueing the
    message, because waking the task through the event loop costs more than most
    handlers do.

    :param capacity: largest number of queued messages; beyond it, :meth:`tell` returns
        ``FULL``.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._messages: deque[M] = deque()
        self._receiver: asyncio.Future[None] | None = None
        self._refused = 0
        self._handler: Callable[[M], None] | None = None
        self._is_handling = False

    @property
    def depth(self) -> int:
        """Number of queued messages."""
        return len(self._messages)

    @property
    def refused(self) -> int:
        """Number of messages rejected so far because the mailbox was full."""
        return self._refused

    def requeue(self, messages: Sequence[M]) -> None:
        """Put received messages back at the front of the queue, even if it is full."""
        self._messages.extendleft(reversed(messages))

    def set_handler(self, handler: Callable[[M], None] | None) -> None:
        """Set the handler that :meth:`tell` calls directly, or remove it with ``None``.

        Messages that are already queued are handled at once. A message sent from
        within the handler is queued and handled after the handler returns.

        :param handler: must not raise.
        """
        self._handler = handler
        if handler is not None and self._messages and not self._is_handling:
            self._handle_and_drain(self._messages.popleft())

    def tell(self, message: M) -> Delivery:
        """Send a message without waiting, and return whether it was accepted."""
        if self._handler is not None and not self._is_handling:
            self._handle_and_drain(message)
            return Delivery.ACCEPTED
        if len(self._messages) >= self._capacity:
            self._refused += 1
            return Delivery.FULL
        self._messages.append(message)
        receiver = self._receiver
        if receiver is not None and not receiver.done():
            receiver.set_result(None)
        return Delivery.ACCEPTED

    def _handle_and_drain(self, message: M) -> None:
        """Handle a message, and then each message that is queued meanwhile.

        When the handler is removed, the next message goes back to the queue.
        """
        self._is_handling = True
        try:
            while self._handler is not None:
                self._handler(message)
                if not self._messages:
                    return
                message = self._messages.popleft()
            self._messages.appendleft(message)
        finally:
            self._is_handling = False

    async def receive(self, timeout_s: float | None = None) -> list[M]:
        """Remove and return all queued messages; wait for one if there is none.

        :param timeout_s: return an empty list after this many seconds.
        """
        if not self._messages:
            await self._wait_for_message(timeout_s)
        return self.receive_nowait()

    def receive_nowait(self) -> list[M]:
        """Remove and return all queued messages; the list may be empty."""
        batch = list(self._messages)
        self._messages.clear()
        return batch

    async def _wait_for_message(self, timeout_s: float | None) -> None:
        loop = asyncio.get_running_loop()
        receiver = self._receiver = loop.create_future()
        timer = None
        if timeout_s is not None:
            timer = loop.call_later(max(0.0, timeout_s), _wake, receiver)
        try:
            await receiver
        finally:
            self._receiver = None
            if timer is not None:
                timer.cancel()


@final
@dataclass(frozen=True, slots=True)
class _Dropped:
    """Marks a reply that will never be answered."""


@final
@dataclass(frozen=True, slots=True)
class _Pending:
    """Marks a reply that has not been answered yet."""


_PENDING = _Pending()


@final
class Reply(Generic[T]):
    """The answer to one message, for which the sending task waits.

    The future is created only when the sender has to wait: a task that has set a
    handler answers most messages within :meth:`Mailbox.tell`.
    """

    __slots__ = ("_answer", "_future")

    def __init__(self) -> None:
        self._answer: T | _Dropped | _Pending = _PENDING
        self._future: asyncio.Future[T | _Dropped] | None = None

    @property
    def abandoned(self) -> bool:
        """Whether the sending task was cancelled or timed out while it waited."""
        return self._future is not None and self._future.cancelled()

    def answer(self, value: T) -> None:
        """Set the answer; later calls are ignored."""
        self._settle(value)

    def drop(self) -> None:
        """Make :meth:`value` raise, because there will be no answer."""
        self._settle(_Dropped())

    def _settle(self, value: T | _Dropped) -> None:
        if isinstance(self._answer, _Pending):
            self._answer = value
            if self._future is not None and not self._future.done():
                self._future.set_result(value)

    async def value(self) -> T:
        """Wait for the answer.

        :raises TaskCrashedError: when the task crashed while it handled the message.
        """
        value = self._answer
        if isinstance(value, _Pending):
            self._future = asyncio.get_running_loop().create_future()
            value = await self._future
        if isinstance(value, _Dropped):
            raise TaskCrashedError(
                "the task crashed while it handled the message", "look at event 1101"
            )
        return value


def _wake(receiver: asyncio.Future[None]) -> None:
    if not receiver.done():
        receiver.set_result(None)
