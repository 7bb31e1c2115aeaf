"""Overload control for service call graphs: the public interface."""

from __future__ import annotations

from _masticspoke.cli.main import main

__all__ = ["main"]
