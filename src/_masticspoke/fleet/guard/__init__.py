"""Branch of the guard: admission and runs at the local backend server."""

from __future__ import annotations
