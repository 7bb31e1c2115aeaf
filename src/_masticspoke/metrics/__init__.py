"""The task that counts requests and records their latency."""

from __future__ import annotations
