"""``python -m bench.overload``: print the figures; exit 1 past a bound."""

from __future__ import annotations

import sys

from bench.overload.table import main

sys.exit(main(sys.argv[1:]))
