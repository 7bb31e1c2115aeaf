"""Branch of reporting: structured log lines and counters."""

from __future__ import annotations
