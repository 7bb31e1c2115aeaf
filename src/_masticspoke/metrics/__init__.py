"""The task that counts requests and measures their latency."""

from __future__ import annotations
