"""Run the command line with ``python -m masticspoke``."""

from __future__ import annotations

from masticspoke import main

raise SystemExit(main())
