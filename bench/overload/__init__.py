"""Virtual-time model of overload, and the bounds on the guard's figures."""

from __future__ import annotations
