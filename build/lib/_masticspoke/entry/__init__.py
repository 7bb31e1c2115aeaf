"""The branch that owns the sockets of clients and of the own backend server."""

from __future__ import annotations
