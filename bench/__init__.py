"""Benchmarks that take longer than tests; the Makefile starts most of them."""

from __future__ import annotations
