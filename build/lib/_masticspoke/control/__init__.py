"""The branch that reads and writes the log: catalogue, membership, claims."""

from __future__ import annotations
