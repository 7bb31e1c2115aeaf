"""Decisions of a node of a fleet, whose backend servers send heartbeats."""

from __future__ import annotations
