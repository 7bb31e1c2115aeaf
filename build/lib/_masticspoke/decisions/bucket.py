"""Token bucket of retries to one service, filled by successes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

CAPACITY_TOKENS = 20.0
TOKENS_PER_SUCCESS = 0.1


@final
@dataclass(slots=True)
class RetryBucket:
    """Retries that may still be sent to a service."""

    tokens: float = CAPACITY_TOKENS


def record_success(bucket: RetryBucket) -> None:
    """Add the share of a retry that a success earns."""
    bucket.tokens = min(CAPACITY_TOKENS, bucket.tokens + TOKENS_PER_SUCCESS)


def take_token(bucket: RetryBucket) -> bool:
    """Take the token for one retry; ``False`` if there is none."""
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True
