"""The branch that owns counters and histograms of latency."""

from __future__ import annotations
