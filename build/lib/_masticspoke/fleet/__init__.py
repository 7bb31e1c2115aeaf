"""The node on a platform that announces backend servers by heartbeats."""

from __future__ import annotations
