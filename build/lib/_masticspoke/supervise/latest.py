"""A place for the latest value that a task tells; older ones are of no use."""

from __future__ import annotations

from typing import final
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


@final
class Latest(Generic[T]):
    """A mailbox for one value: telling replaces it, and reading leaves it there.

    :param first: the value until the first one is told; never changed in place.
    """

    __slots__ = ("_value",)

    def __init__(self, first: T) -> None:
        self._value = first

    @property
    def value(self) -> T:
        """The latest value."""
        return self._value

    def tell(self, value: T) -> None:
        """Replace the value."""
        self._value = value
