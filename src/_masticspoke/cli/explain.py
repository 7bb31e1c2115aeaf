"""``masticspoke explain``: trace one request in the logs of several nodes."""

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
    """Print the log lines of a request in time order, then the cause of its outcome.

    :raises LogFileError: when a file can't be read, or no line is about the request.
    """
    lines = [line for path in options.files for line in read_lines(path)]
    related = related_lines(lines, options.id)
    if not related:
        raise LogFileError(
            f"no line of request {options.id} in {len(options.files)} files",
            "check the id, and add the logs of the node that received the request",
        )
    for line in related:
        print(_format_line(line))
    print(f"cause: {cause(related, options.id)}")
    return 0


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the structured lines of a log file and skip all others.

    A crash may truncate a line, and a log collector may prefix each line with text.

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
            fields = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if isinstance(fields, dict):
            yield fields


def _format_line(line: Mapping[str, Any]) -> str:
    skipped = ("t", "node", "event", "text", "id")
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in skipped)
    head = f"{line.get('t')} {line.get('node')} E{line.get('event')}"
    return f"{head} {line.get('text')} {fields}"
