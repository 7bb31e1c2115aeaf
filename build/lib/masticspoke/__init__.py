"""Overload control for service call graphs: the public face of the library."""

from __future__ import annotations

from _masticspoke.cli.main import main

__all__ = ["main"]
