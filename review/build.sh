#!/bin/sh
# Builds the stand-ins that the scripts start. Run it after the deploy file's build,
# whose packages they use; it needs no network.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps/aiohttp ]; then
    echo "target/deps is missing: run the deploy file's build first" >&2
    exit 2
fi
PYTHONPATH=.:target/deps:review/harness python3 -m compileall -q \
    review/harness review/[1-5]/case.py testing/standins/log_service.py &&
    PYTHONPATH=.:target/deps:review/harness python3 -c \
        'import fleet, testing.standins.log_service'
