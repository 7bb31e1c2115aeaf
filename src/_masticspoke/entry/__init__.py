"""Listening sockets for clients, other nodes and the local backend server."""

from __future__ import annotations
