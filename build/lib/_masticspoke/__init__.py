"""Private implementation; import :mod:`masticspoke` instead."""

from __future__ import annotations
