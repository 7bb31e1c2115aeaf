#!/bin/sh
# Build the stand-ins of review 3. They are Python files that need nothing but the
# standard library, so this only checks that they can be read by the python3 that runs
# the nodes; it writes nothing.
cd "$(dirname "$0")" && exec python3 -B -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for folder in ("parts-3", "11", "12", "13", "14", "15"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(path.read_text(), str(path))
'
