from __future__ import annotations

import re
from pathlib import Path

from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT


def test_a_node_exposes_what_it_served_and_refused(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        server = fleet.add("a", "inspect-desk", "kochi-a")
        fleet.apply(ROOT / "examples" / "kerala-south.ini")
        fleet.wait_ready()
        for path in ("/inspections/1", "/inspections/2", "/nothing", "/batches/1"):
            http("GET", f"{server.url}{path}")

        url = f"http://127.0.0.1:{server.peer_port}/.masticspoke/metrics"
        code, body = http("GET", url)

    assert code == 200
    values = dict(re.findall(r"^([^#]\S*) (\S+)$", body.decode(), re.MULTILINE))
    served = 'port="clients",class="line"'
    refused = 'port="clients",class="unknown",kind="unknown",reason="unknown-kind"'
    no_server = 'port="clients",class="boards",kind="batch-status"'
    no_server += ',reason="no-backend-server"'
    assert values[f'masticspoke_requests_total{{{served},outcome="answered"}}'] == "2"
    assert values[f"masticspoke_refusals_total{{{refused}}}"] == "1"
    assert values[f"masticspoke_refusals_total{{{no_server}}}"] == "1"
    assert values[f"masticspoke_latency_seconds_count{{{served}}}"] == "2"
    assert values["masticspoke_catalogue_version"] == "1"
