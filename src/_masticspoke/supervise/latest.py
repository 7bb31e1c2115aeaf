"""A shared variable for values of which only the latest one matters."""

from __future__ import annotations

from typing import final
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


@final
class Latest(Generic[T]):
    """The latest value that a task published.

    :meth:`tell` replaces the value, and reading does not consume it.

    :param initial: the value until the first :meth:`tell`. Values are replaced as a
        whole, never mutated.
    """

    __slots__ = ("_value",)

    def __init__(self, initial: T) -> None:
        self._value = initial

    @property
    def value(self) -> T:
        """The latest value."""
        return self._value

    def tell(self, value: T) -> None:
        """Replace the value."""
        self._value = value
