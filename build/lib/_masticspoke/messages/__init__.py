"""Messages that tasks exchange through their mailboxes, by the task they go to."""

from __future__ import annotations
