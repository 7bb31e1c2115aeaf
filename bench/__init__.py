"""Benchmarks that take longer than tests; the Makefile starts them."""

from __future__ import annotations
