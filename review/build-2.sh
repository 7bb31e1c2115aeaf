#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the node: the stand-ins of
# review/harness-2 and the project's stand-in of the store. They need only the
# dependencies that the build of deploy/system.toml has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q review/harness-2 testing/standins/log_service.py
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/case.py" ]; then python3 -m compileall -q "$folder/case.py"; fi
done
PYTHONPATH="target/deps:.:review/harness-2" python3 -c "import fleet2, testing.standins.log_service"
