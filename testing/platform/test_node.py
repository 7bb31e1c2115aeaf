"""Start, reload and stop of a platform node that runs as a separate process."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from testing.live.fleet import free_port
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import wait_until
from testing.platform.test_settings import write_settings

_COMMAND = [sys.executable, "-m", "_masticspoke.platform"]
# Grace period in the settings of each node.
_GRACE_S = 6.0


def write_node_settings(folder: Path) -> tuple[Path, int]:
    """Write a node's settings without a log; return path and readiness port."""
    names = ("outbound", "inbound", "readiness_address", "control_plane")
    ports = {name: free_port() for name in names}
    fields = {
        f"listeners_by_port.{name}": f"127.0.0.1:{port}" for name, port in ports.items()
    }
    fields["ip"] = "127.0.0.1"
    fields["internal_port_range.0"] = str(free_port())
    fields["platform.address"] = f"127.0.0.1:{free_port()}"
    fields["seed_nodes"] = ""
    return write_settings(folder, **fields), ports["readiness_address"]


def start_node(path: Path) -> subprocess.Popen[bytes]:
    environment = {**os.environ, "MASTICSPOKE_SETTINGS": str(path)}
    return subprocess.Popen(
        _COMMAND,
        cwd=ROOT,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def is_up(port: int) -> bool:
    try:
        return http("GET", f"http://127.0.0.1:{port}/readiness")[0] == 503
    except OSError:
        return False


def log_lines(output: bytes) -> list[dict[str, Any]]:
    return [json.loads(line) for line in output.splitlines()]


def test_start_reload_and_stop_are_logged(tmp_path: Path) -> None:
    path, port = write_node_settings(tmp_path)
    process = start_node(path)
    try:
        wait_until(lambda: is_up(port), 10, "readiness answers 503")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        signal_sent_at = time.monotonic()
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=_GRACE_S)
        assert time.monotonic() - signal_sent_at < _GRACE_S
    finally:
        process.kill()
    assert process.returncode == 0
    events = [line["event"] for line in log_lines(output)]
    assert events[0] == 1001
    assert events[-1] == 1003
    assert events.index(4204) < events.index(1002)


_PRINT_SIGHUP_AT_IMPORT = """
import signal
import sys
import _masticspoke.platform.__main__ as program


class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == "uvloop":
            print(signal.getsignal(signal.SIGHUP).name)


sys.meta_path.insert(0, Finder())
program.main()
"""


# A SIGHUP within 0.4 s of the start, while libraries were imported, ended the process.
def test_reload_signal_does_not_end_a_process_that_starts() -> None:
    environment = {**os.environ, "MASTICSPOKE_SETTINGS": ""}
    output = subprocess.run(
        [sys.executable, "-c", _PRINT_SIGHUP_AT_IMPORT],
        env=environment,
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert output == "SIG_IGN\n"


def test_wrong_settings_end_the_process_with_one_error_line(tmp_path: Path) -> None:
    path, _ = write_node_settings(tmp_path)
    path.write_text(path.read_text().replace("clients = ", "clients = none"))
    process = start_node(path)
    _, error = process.communicate(timeout=10)
    assert process.returncode != 0
    assert error.count(b"\n") == 1
    assert b"node.ini" in error


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_second_stop_signal_does_not_break_the_stop(
    tmp_path: Path, number: signal.Signals
) -> None:
    path, port = write_node_settings(tmp_path)
    process = start_node(path)
    try:
        wait_until(lambda: is_up(port), 10, "readiness answers 503")
        process.send_signal(number)
        time.sleep(0.1)
        process.send_signal(number)
        output, _ = process.communicate(timeout=_GRACE_S)
    finally:
        process.kill()
    assert process.returncode == 0
    assert log_lines(output)[-1]["event"] == 1003
