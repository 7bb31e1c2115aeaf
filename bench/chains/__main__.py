"""``python -m bench.chains``: print goodput, waste and recovery of both rules."""

from __future__ import annotations

from bench.chains.table import main

main()
