"""The branch that owns the one co-located backend server and its queue."""

from __future__ import annotations
