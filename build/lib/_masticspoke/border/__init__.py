"""Validated models and encodings: INI, HTTP headers and bodies, log records."""

from __future__ import annotations
