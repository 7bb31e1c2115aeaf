"""Bounded mailboxes, and replies to questions asked through them."""

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
    """What became of a message."""

    ACCEPTED = "accepted"
    FULL = "full"


@final
class Mailbox(Generic[M]):
    """Bounded queue with one receiving task.

    :param capacity: messages that may wait; one more is answered ``FULL``.

    While its task is idle and has named a handler, a message is handled when it is
    told: a turn of the event loop for each message costs more than most handlers.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._waiting: deque[M] = deque()
        self._receiver: asyncio.Future[None] | None = None
        self._refused = 0
        self._handle: Callable[[M], None] | None = None
        self._handling = False

    @property
    def depth(self) -> int:
        """Messages that wait."""
        return len(self._waiting)

    @property
    def refused(self) -> int:
        """Messages that were answered ``FULL`` so far."""
        return self._refused

    def give_back(self, messages: Sequence[M]) -> None:
        """Put received messages back, in front of those that wait."""
        self._waiting.extendleft(reversed(messages))

    def handle_with(self, handle: Callable[[M], None] | None) -> None:
        """Name the handler of messages that come while the task is idle, or none.

        It must not raise. What waits is handled first, as is what is told from within.
        """
        self._handle = handle
        if handle is not None and self._waiting and not self._handling:
            self._handle_now(self._waiting.popleft())

    def tell(self, message: M) -> Delivery:
        """Leave a message without waiting."""
        if self._handle is not None and not self._handling:
            self._handle_now(message)
            return Delivery.ACCEPTED
        if len(self._waiting) >= self._capacity:
            self._refused += 1
            return Delivery.FULL
        self._waiting.append(message)
        receiver = self._receiver
        if receiver is not None and not receiver.done():
            receiver.set_result(None)
        return Delivery.ACCEPTED

    def _handle_now(self, message: M) -> None:
        self._handling = True
        try:
            while self._handle is not None:
                self._handle(message)
                if not self._waiting:
                    return
                message = self._waiting.popleft()
            self._waiting.appendleft(message)
        finally:
            self._handling = False

    async def receive(self, timeout_s: float | None = None) -> list[M]:
        """Take all that waits; wait for a first message if there is none.

        :param timeout_s: return an empty list after that many seconds.
        """
        if not self._waiting:
            await self._wait(timeout_s)
        return self.take()

    def take(self) -> list[M]:
        """Take all that waits, without waiting."""
        batch = list(self._waiting)
        self._waiting.clear()
        return batch

    async def _wait(self, timeout_s: float | None) -> None:
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
    """Takes the place of an answer that will not come."""


@final
@dataclass(frozen=True, slots=True)
class _Missing:
    """Takes the place of an answer that has not come yet."""


_MISSING = _Missing()


@final
class Reply(Generic[T]):
    """The answer to one question; the asking task waits for it.

    Most questions are answered while they are told; these need no future.
    """

    __slots__ = ("_answer", "_future")

    def __init__(self) -> None:
        self._answer: T | _Dropped | _Missing = _MISSING
        self._future: asyncio.Future[T | _Dropped] | None = None

    @property
    def abandoned(self) -> bool:
        """Whether the asking task no longer waits."""
        return self._future is not None and self._future.cancelled()

    def answer(self, value: T) -> None:
        """Give the answer; a second one is ignored."""
        self._settle(value)

    def drop(self) -> None:
        """Tell the asking task that there will be no answer."""
        self._settle(_Dropped())

    def _settle(self, value: T | _Dropped) -> None:
        if isinstance(self._answer, _Missing):
            self._answer = value
            if self._future is not None and not self._future.done():
                self._future.set_result(value)

    async def value(self) -> T:
        """Wait for the answer.

        :raises TaskCrashedError: when the task crashed with the question in hand.
        """
        value = self._answer
        if isinstance(value, _Missing):
            self._future = asyncio.get_running_loop().create_future()
            value = await self._future
        if isinstance(value, _Dropped):
            raise TaskCrashedError(
                "a task crashed with a question in hand", "look at event 1101"
            )
        return value


def _wake(receiver: asyncio.Future[None]) -> None:
    if not receiver.done():
        receiver.set_result(None)
