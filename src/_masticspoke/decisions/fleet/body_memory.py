"""Decide whether a node has memory for the body of one more request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

# Memory of a node without requests: 36 MB, and room for caches and answers.
_BASE_BYTES = 67_108_864
# A body is held up to four times at once: while it is joined, as a whole, in the
# request that is encoded from it, and in the buffer of a transport.
_COPIES = 4
# Memory for bodies at nodes whose limit is hardly above the base.
_MIN_BYTES = 4_194_304


@final
@dataclass(slots=True)
class BodyMemory:
    """Memory of the bodies of all requests that a node has not answered.

    :param limit_bytes: ``None`` for no limit.
    """

    limit_bytes: int | None = None
    held_bytes: int = 0


def body_limit_bytes(memory_limit_bytes: float) -> int:
    """Return the bytes for bodies at a node with this limit of its memory."""
    return max(_MIN_BYTES, int(memory_limit_bytes - _BASE_BYTES) // _COPIES)


def hold(memory: BodyMemory, count: int) -> bool:
    """Count bytes of a body before they are read; return whether they may be.

    A body that is alone may exceed the limit, so that no request is refused for ever.
    """
    limit = memory.limit_bytes
    if limit is not None and memory.held_bytes and memory.held_bytes + count > limit:
        return False
    memory.held_bytes += count
    return True


def release(memory: BodyMemory, count: int) -> None:
    """Record that bytes of bodies are no longer needed."""
    memory.held_bytes -= count
