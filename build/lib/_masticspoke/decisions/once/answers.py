"""Stored answers, bounded in bytes and time."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.once.model import OnceLimits
from _masticspoke.decisions.once.model import StoredAnswer

_LARGEST_SHARE = 8


@final
@dataclass(slots=True)
class Answers:
    """Answers by digest, oldest first."""

    held: dict[str, tuple[float, StoredAnswer]] = field(default_factory=dict)
    size: int = 0


def store(
    answers: Answers, digest: str, answer: StoredAnswer, limits: OnceLimits, now: float
) -> None:
    """Store an answer, unless it is too large; evict the oldest for it."""
    size = answer_bytes(answer)
    if size > limits.answers_bytes // _LARGEST_SHARE:
        return
    while answers.held and answers.size + size > limits.answers_bytes:
        _evict(answers, next(iter(answers.held)))
    answers.held[digest] = (now, answer)
    answers.size += size


def stored(answers: Answers, digest: str) -> StoredAnswer | None:
    """Return a stored answer, or ``None`` when it was too large or is evicted."""
    found = answers.held.get(digest)
    return None if found is None else found[1]


def evict_old(answers: Answers, limits: OnceLimits, now: float) -> None:
    """Evict the answers that have been stored for their time."""
    for digest, (stored_at, _) in list(answers.held.items()):
        if now - stored_at < limits.answer_ttl_s:
            return
        _evict(answers, digest)


def answer_bytes(answer: StoredAnswer) -> int:
    """Return the memory that an answer counts for."""
    return len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)


def _evict(answers: Answers, digest: str) -> None:
    _, answer = answers.held.pop(digest)
    answers.size -= answer_bytes(answer)
