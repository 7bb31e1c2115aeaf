"""Listening sockets for clients, other nodes and the own backend server."""

from __future__ import annotations
