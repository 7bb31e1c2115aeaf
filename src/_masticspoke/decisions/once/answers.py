"""Stored answers, bounded in total size and in age."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from _masticspoke.decisions.once.model import OnceLimits
from _masticspoke.decisions.once.model import StoredAnswer

_MAX_ANSWER_DIVISOR = 8


@final
@dataclass(slots=True)
class Answers:
    """Stored answers, oldest first.

    :param by_digest: time of storing, and the answer.
    """

    by_digest: dict[str, tuple[float, StoredAnswer]] = field(default_factory=dict)
    size_bytes: int = 0


def store(
    answers: Answers, digest: str, answer: StoredAnswer, limits: OnceLimits, now: float
) -> None:
    """Store an answer and evict the oldest ones to make room.

    An answer of more than 1/8 of the size limit is not stored.
    """
    size = answer_bytes(answer)
    if size > limits.answers_bytes // _MAX_ANSWER_DIVISOR:
        return
    while answers.by_digest and answers.size_bytes + size > limits.answers_bytes:
        _evict(answers, next(iter(answers.by_digest)))
    answers.by_digest[digest] = (now, answer)
    answers.size_bytes += size


def stored_answer(answers: Answers, digest: str) -> StoredAnswer | None:
    """Return a stored answer, or ``None`` if it was too large or was evicted."""
    entry = answers.by_digest.get(digest)
    return None if entry is None else entry[1]


def evict_expired(answers: Answers, limits: OnceLimits, now: float) -> None:
    """Evict the answers that have been stored for ``answer_ttl_s``."""
    for digest, (stored_at, _) in list(answers.by_digest.items()):
        if now - stored_at < limits.answer_ttl_s:
            return
        _evict(answers, digest)


def answer_bytes(answer: StoredAnswer) -> int:
    """Return the size of an answer's body and headers."""
    return len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)


def _evict(answers: Answers, digest: str) -> None:
    _, answer = answers.by_digest.pop(digest)
    answers.size_bytes -= answer_bytes(answer)
