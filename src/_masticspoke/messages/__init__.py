"""Messages that tasks exchange through their mailboxes, by receiving task."""

from __future__ import annotations
