"""At-most-once execution of requests with an idempotency key."""

from __future__ import annotations
