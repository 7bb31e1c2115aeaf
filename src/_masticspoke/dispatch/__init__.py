"""Supervisor branch that routes requests and owns connections to other nodes."""

from __future__ import annotations
