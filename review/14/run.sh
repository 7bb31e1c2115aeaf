#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." && exec python3 -B review/14/case.py
