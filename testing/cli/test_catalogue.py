from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from testing.live.fleet import Fleet
from testing.live.fleet import free_port
from testing.live.fleet import ROOT
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import MatchesAll
from testtools.matchers import Not

from _masticspoke.cli import log_access
from _masticspoke.cli.main import main

FILE = str(ROOT / "examples" / "kerala-south.ini")
Capture = pytest.CaptureFixture[str]


@pytest.fixture
def fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Fleet]:
    monkeypatch.setattr(log_access, "RETRY_PAUSE_S", 0.01)
    with Fleet(tmp_path) as started:
        yield started


def log_option(fleet: Fleet) -> str:
    return f"127.0.0.1:{fleet.log_port}"


def apply(fleet: Fleet, *extra_options: str) -> int:
    return main(
        ["catalogue", "apply", FILE, "--log", log_option(fleet), *extra_options]
    )


def history(
    fleet: Fleet, capsys: Capture, *extra_options: str
) -> list[dict[str, object]]:
    capsys.readouterr()
    options = ["--log", log_option(fleet), "--json", *extra_options]
    assert main(["catalogue", "history", *options]) == 0
    return [json.loads(line) for line in capsys.readouterr().out.splitlines()]


def test_apply_prints_id_and_version_and_history_shows_them(
    fleet: Fleet, capsys: Capture
) -> None:
    assert apply(fleet, "--json", "--author", "asha") == 0
    change = json.loads(capsys.readouterr().out)

    assert change["version"] == 1
    assert history(fleet, capsys) == [change]
    assert history(fleet, capsys, "--change", change["change_id"]) == [change]
    assert change["author"] == "asha"


def test_change_made_from_an_outdated_version_is_refused(
    fleet: Fleet, capsys: Capture
) -> None:
    assert apply(fleet) == 0
    assert apply(fleet, "--made-from", "0") == 5

    error = capsys.readouterr().err
    assert_that(error, MatchesAll(Contains("--made-from 1"), Contains("not accepted")))
    assert error.count("\n") == 1


def test_one_of_several_concurrent_changes_is_accepted(fleet: Fleet) -> None:
    codes: list[int] = []

    def run() -> None:
        made_from = ["--made-from", "0"]
        arguments = ["catalogue", "apply", FILE, "--log", log_option(fleet)]
        codes.append(fleet.command(*arguments, *made_from).returncode)

    threads = [threading.Thread(target=run) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()

    assert sorted(codes) == [0, 5, 5, 5]


def test_change_is_accepted_once_after_a_lost_answer(
    fleet: Fleet, capsys: Capture
) -> None:
    fleet.log_faults(lose_append_answers=1)

    assert apply(fleet) == 0

    assert [line["version"] for line in history(fleet, capsys)] == [1]


def test_outcome_is_unknown_when_answers_are_lost_and_reads_fail(
    fleet: Fleet, capsys: Capture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def no_answer(*_: object) -> log_access.LogFault:
        return log_access.LogFault.NOT_DONE

    assert apply(fleet) == 0
    fleet.log_faults(lose_append_answers=100)
    read_history = log_access.read_history
    calls = 0

    async def first_read_only(client: log_access.LogClient) -> object:
        nonlocal calls
        calls += 1
        return await (read_history(client) if calls == 1 else no_answer())

    monkeypatch.setattr(log_access, "read_history", first_read_only)
    assert apply(fleet) == 6
    error = capsys.readouterr().err
    assert_that(error, Contains("masticspoke catalogue history --log"))
    monkeypatch.undo()

    change_id = error.split("--change ")[1].strip()
    lines = history(fleet, capsys, "--change", change_id)
    assert lines[0]["version"] == 2


def test_apply_fails_when_the_log_refuses_appends(
    fleet: Fleet, capsys: Capture
) -> None:
    fleet.log_faults(appends_per_s=0)

    assert apply(fleet) == 4
    assert_that(capsys.readouterr().err, Contains("nothing was appended"))


def test_exit_codes_when_log_and_node_are_unreachable(
    capsys: Capture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(log_access, "RETRY_PAUSE_S", 0.01)
    address = f"127.0.0.1:{free_port()}"

    assert main(["catalogue", "show", "--log", address]) == 4
    assert main(["catalogue", "show", "--node", address]) == 7
    assert main(["status", address]) == 7
    assert main(["status", "nowhere"]) == 2
    assert capsys.readouterr().err.count("\n") == 4


def test_shown_catalogue_can_be_applied(
    fleet: Fleet, capsys: Capture, tmp_path: Path
) -> None:
    assert apply(fleet) == 0
    capsys.readouterr()
    assert main(["catalogue", "show", "--log", log_option(fleet)]) == 0
    shown = tmp_path / "shown.ini"
    shown.write_text(capsys.readouterr().out)

    options = ["--log", log_option(fleet), "--made-from", "1"]
    assert main(["catalogue", "apply", str(shown), *options]) == 0
    capsys.readouterr()
    assert main(["catalogue", "show", "--log", log_option(fleet)]) == 0
    shown_again = capsys.readouterr().out
    # The first line states the version and the change id.
    assert shown_again.splitlines()[1:] == shown.read_text().splitlines()[1:]


def test_outcome_of_a_change_not_in_the_log_is_unknown(
    fleet: Fleet, capsys: Capture
) -> None:
    options = ["--log", log_option(fleet), "--change", "0123"]

    assert main(["catalogue", "history", *options]) == 6


FAULTY = """\
[class line]
rank = 1
colour = red

[entry read]
owner = floor
class = line
service = inspect-desk
method = GET
path = /r
deadline_ms = 2s
idempotent = yes

[entry other]
owner = floor
class = nobody
service = inspect-desk
method = GET
path = /o
deadline_ms = 10
idempotent = yes
"""


def test_check_reports_every_fault_with_its_line(
    tmp_path: Path, capsys: Capture
) -> None:
    path = tmp_path / "faulty.ini"
    path.write_text(FAULTY)

    assert main(["catalogue", "check", str(path)]) == 2

    error = capsys.readouterr().err
    places = (":3: [class line] colour", ":11: [entry read] deadline_ms")
    places += (":16: [entry other] class",)
    assert_that(error, MatchesAll(*(Contains(place) for place in places)))
    assert_that(error, Not(Contains("Traceback")))
    assert error.count("\n") == 1


NODE = """\
[node]
name = a
zone = kochi-a
client_address = 127.0.0.1:1
peer_address = 127.0.0.1:2
backend_address = 127.0.0.1:3
{node}
[log]
address = {log}
"""


@pytest.mark.parametrize(
    ("node", "log", "expected"),
    [
        (
            "stop_timeout_s = 30s",
            "127.0.0.1:4",
            "[node] stop_timeout_s: expected a number",
        ),
        ("stop_timeout_ms = 30", "127.0.0.1:4", "[node] stop_timeout_ms: unknown key"),
        ("", "log.example:4", "[log] address: expected IP:PORT"),
        ("", "127.0.0.1:0", "[log] address: expected a port"),
    ],
)
def test_settings_error_names_section_key_and_expected_value(
    node: str, log: str, expected: str, tmp_path: Path, capsys: Capture
) -> None:
    path = tmp_path / "node.ini"
    path.write_text(NODE.format(node=node, log=log))

    assert main(["node", str(path)]) == 2

    error = capsys.readouterr().err
    assert_that(error, Contains(expected))
    assert error.count("\n") == 1
