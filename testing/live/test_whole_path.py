from __future__ import annotations

import json
from pathlib import Path

from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT

CATALOGUE = ROOT / "examples" / "kerala-south.ini"


def test_requests_and_nested_requests_reach_their_services(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        front = fleet.add("a", "inspect-desk", "kochi-a", child="/batches/7")
        fleet.add("b", "batch-board", "kochi-b")
        fleet.apply(CATALOGUE)
        fleet.wait_ready()

        code, body = http("GET", f"{front.url}/inspections/1?echo=me")

        assert code == 200, body
        answer = json.loads(body)
        assert answer["service"] == "inspect-desk"
        assert answer["echo"] == "me"
        assert answer["child"]["service"] == "batch-board"

        code, body = http("GET", f"{front.url}/batches/9")
        assert code == 200
        assert json.loads(body)["service"] == "batch-board"

        code, body = http("GET", f"{front.url}/nothing")
        problem = json.loads(body)
        assert (code, problem["reason"], problem["ran"]) == (404, "unknown-kind", "no")
