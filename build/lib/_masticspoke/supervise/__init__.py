"""Supervisors, their child specifications, and the mailboxes between tasks."""

from __future__ import annotations
