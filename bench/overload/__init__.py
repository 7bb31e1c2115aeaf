"""Virtual-time simulation of overload, with bounds on the guard's figures."""

from __future__ import annotations
