"""Supervisor branch that admits and runs the calls to this node's backend server."""

from __future__ import annotations
