"""Branch of a request: its route, its sends, and the placer."""

from __future__ import annotations
