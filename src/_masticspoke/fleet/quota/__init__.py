"""Quotas of organisations that all nodes keep together."""

from __future__ import annotations
