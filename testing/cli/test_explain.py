from __future__ import annotations

import json
from pathlib import Path

import pytest

from _masticspoke.cli.main import main

ENTRY_LINE = {
    "t": 2.0,
    "node": "a",
    "event": 4002,
    "text": "request refused or failed",
    "id": "r1",
    "outcome": "refused",
    "reason": "busy",
    "sends": ["10.0.0.1:80:busy"],
}
GUARD_LINE = {
    "t": 1.9,
    "node": "b",
    "event": 4003,
    "text": "guard did not run a request",
    "id": "r1",
    "reason": "busy",
    "running": 10,
    "limit": 10,
}


def write_log(path: Path, *lines: object) -> str:
    path.write_text("".join(f"12.5 node {json.dumps(line)}\n" for line in lines))
    return str(path)


def test_trail_is_in_time_order_and_ends_with_the_cause(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    entry_log = write_log(tmp_path / "a", {**ENTRY_LINE, "id": "other"}, ENTRY_LINE)
    guard_log = write_log(tmp_path / "b", GUARD_LINE)

    assert main(["explain", "r1", entry_log, guard_log]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 3
    assert " b E4003 " in lines[0]
    assert " a E4002 " in lines[1]
    assert lines[2].startswith("cause: refused under load")


def test_truncated_last_line_is_skipped(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "a"
    path.write_text(json.dumps(ENTRY_LINE) + "\n" + json.dumps(GUARD_LINE)[:40])

    assert main(["explain", "r1", str(path)]) == 0
    assert "cause: refused under load" in capsys.readouterr().out


def test_unknown_id_and_missing_file_name_the_remedy(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    entry_log = write_log(tmp_path / "a", ENTRY_LINE)

    assert main(["explain", "r2", entry_log]) == 8
    assert "add the logs" in capsys.readouterr().err
    assert main(["explain", "r1", str(tmp_path / "none")]) == 8
    assert "name a readable file" in capsys.readouterr().err


def test_failed_nested_request_is_the_cause(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    outer = {**ENTRY_LINE, "event": 4001, "outcome": 500, "sends": ["10.0.0.2:80:500"]}
    del outer["reason"]
    middle = {**outer, "id": "r1.a", "t": 1.9}
    nested = {**ENTRY_LINE, "id": "r1.a.b", "t": 1.8, "node": "c"}
    other = {**ENTRY_LINE, "id": "r10.a", "t": 1.7}

    path = write_log(tmp_path / "all", nested, middle, outer, other)
    assert main(["explain", "r1", path]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 4
    assert "its nested request r1.a.b refused under load" in lines[-1]
