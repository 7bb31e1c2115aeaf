"""Pure decisions: no clock, socket, event loop or encoding."""

from __future__ import annotations
