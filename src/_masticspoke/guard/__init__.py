"""Branch that owns the queue of the own backend server and its running calls."""

from __future__ import annotations
