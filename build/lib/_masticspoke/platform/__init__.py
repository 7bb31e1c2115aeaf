"""Adapters to the platform, one module each."""

from __future__ import annotations
