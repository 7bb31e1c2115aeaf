"""``python -m bench.overload``: print the figures; exit with 1 if a bound is missed."""

from __future__ import annotations

import sys

from bench.overload.table import main

sys.exit(main(sys.argv[1:]))
