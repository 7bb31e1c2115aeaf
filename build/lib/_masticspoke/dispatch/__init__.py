"""The branch that chooses backend servers and owns connections to other nodes."""

from __future__ import annotations
