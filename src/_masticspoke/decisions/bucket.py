"""Token bucket that bounds the retries to one service; successes fill it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

CAPACITY_TOKENS = 20.0
TOKENS_PER_SUCCESS = 0.1


@final
@dataclass(slots=True)
class RetryBucket:
    """Retries that may still be sent to a service, as fractional tokens."""

    tokens: float = CAPACITY_TOKENS


def record_success(bucket: RetryBucket) -> None:
    """Add the tokens for one success, up to the capacity."""
    bucket.tokens = min(CAPACITY_TOKENS, bucket.tokens + TOKENS_PER_SUCCESS)


def take_token(bucket: RetryBucket) -> bool:
    """Take the token for one retry; return ``False`` if there is none."""
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True
