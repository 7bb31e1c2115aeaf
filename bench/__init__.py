"""Measurements that take longer than tests; see the Makefile."""

from __future__ import annotations
