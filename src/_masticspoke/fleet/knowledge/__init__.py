"""Branch of what a node knows: configuration, servers, crash reports."""

from __future__ import annotations
