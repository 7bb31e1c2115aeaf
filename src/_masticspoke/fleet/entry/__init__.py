"""Branch of the listening sockets."""

from __future__ import annotations
