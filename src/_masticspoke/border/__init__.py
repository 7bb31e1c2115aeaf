"""Validated models and codecs: INI files, HTTP headers and bodies, log records."""

from __future__ import annotations
