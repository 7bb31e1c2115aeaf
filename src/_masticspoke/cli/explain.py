"""``masticspoke explain``: the trail of one request, from the logs of several nodes."""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterator
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from _masticspoke.decisions.fleet.explanation import cause
from _masticspoke.decisions.fleet.explanation import related_lines
from _masticspoke.errors import LogFileError


def explain_request(options: argparse.Namespace) -> int:
    """Print the lines of the request in time order, and its cause last."""
    lines = [line for path in options.files for line in read_lines(path)]
    found = related_lines(lines, options.id)
    if not found:
        raise LogFileError(
            f"no line of request {options.id} in {len(options.files)} files",
            "check the id, and add the logs of the node that took the request",
        )
    for line in found:
        print(_one_line(line))
    print(f"cause: {cause(found, options.id)}")
    return 0


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Return the structured lines of a log file; others are passed over.

    A crash may leave half a line, and a collector may put text before each line.

    :raises LogFileError: when the file can't be read.
    """
    try:
        text = path.read_text("utf-8", errors="replace")
    except OSError as error:
        raise LogFileError(
            f"log file {path}: {error.strerror}", "name a readable file"
        ) from None
    for line in text.splitlines():
        start = line.find("{")
        try:
            found = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(found, dict):
            yield found


def _one_line(line: Mapping[str, Any]) -> str:
    skipped = ("t", "node", "event", "text", "id")
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in skipped)
    head = f"{line.get('t')} {line.get('node')} E{line.get('event')}"
    return f"{head} {line.get('text')} {fields}"
