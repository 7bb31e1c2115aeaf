from __future__ import annotations

import http.client
import json
import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

from testing.live.fleet import Fleet
from testing.live.fleet import http as send
from testing.live.fleet import ROOT
from testing.live.fleet import Server
from testing.live.fleet import wait_until

CATALOGUE = ROOT / "examples" / "kerala-south.ini"
STREAM_BYTES = 1_000_000


@dataclass
class Load:
    """Clients that send requests to the nodes in turn.

    A client goes on to the next node when its connection is not accepted. Whatever
    goes wrong after that is a failed request.
    """

    fleet: Fleet
    served: int = 0
    failed: list[str] = field(default_factory=list)
    stop: threading.Event = field(default_factory=threading.Event)

    def client(self, number: int, path: str) -> None:
        server_number = number
        while not self.stop.is_set():
            server_number += 1
            server = self.fleet.servers[server_number % len(self.fleet.servers)]
            connection = http.client.HTTPConnection(
                "127.0.0.1", server.client_port, timeout=20
            )
            try:
                connection.connect()
            except OSError:
                continue
            try:
                connection.request("GET", path)
                answer = connection.getresponse()
                body = answer.read()
            except (OSError, http.client.HTTPException) as error:
                self.failed.append(f"{server.name} {path}: {error!r}")
                continue
            finally:
                connection.close()
            if answer.status == 200:
                self.served += 1
            else:
                self.failed.append(f"{server.name} {path}: {body.decode()}")


@contextmanager
def load(fleet: Fleet, paths: list[str]) -> Iterator[Load]:
    shared_load = Load(fleet)
    threads = [
        threading.Thread(target=shared_load.client, args=(number, path))
        for number, path in enumerate(paths)
    ]
    for thread in threads:
        thread.start()
    try:
        yield shared_load
    finally:
        shared_load.stop.set()
        for thread in threads:
            thread.join()


def stop_node(server: Server, timeout_s: float) -> None:
    assert server.node is not None
    server.node.send_signal(signal.SIGTERM)
    assert server.node.wait(timeout_s) == 0


def start_small_fleet(fleet: Fleet) -> None:
    fleet.add("a", "inspect-desk", "kochi-a", child="/batches/7")
    fleet.add("b", "inspect-desk", "kochi-b", child="/batches/8")
    fleet.add("c", "batch-board", "kochi-a")
    fleet.add("d", "batch-board", "kochi-b")
    fleet.apply(CATALOGUE)
    fleet.wait_ready()


def test_no_request_fails_in_a_rolling_restart_under_load(tmp_path: Path) -> None:
    paths = ["/inspections/1", "/batches/1"] * 2
    paths += [f"/batches/2?size={STREAM_BYTES}&chunk_ms=30"] * 2
    with Fleet(tmp_path) as fleet:
        start_small_fleet(fleet)
        with load(fleet, paths) as clients:
            for server in fleet.servers:
                stop_node(server, 40)
                fleet.start_node(server)
                fleet.wait_ready()
        for server in fleet.servers:
            log = (tmp_path / f"node-{server.name}.log").read_text()
            assert "E1201" not in log
            assert "E1003" in log

    assert clients.failed == []
    assert clients.served > 0


def test_stop_is_bounded_and_logs_interrupted_requests(tmp_path: Path) -> None:
    with Fleet(tmp_path, node_settings="stop_timeout_s = 1\n") as fleet:
        server = fleet.add("a", "batch-board", "kochi-a")
        fleet.apply(CATALOGUE)
        fleet.wait_ready()
        connection = http.client.HTTPConnection("127.0.0.1", server.client_port)
        connection.request("GET", f"/batches/2?size={STREAM_BYTES * 20}&chunk_ms=100")
        answer = connection.getresponse()

        stop_node(server, 15)

        try:
            answer.read()
        except (OSError, http.client.HTTPException):
            pass
        else:
            raise AssertionError("a truncated answer looks complete")
        finally:
            connection.close()
        log = (tmp_path / "node-a.log").read_text()
        assert "E1201" in log
        assert "requests=1" in log


def served(server: Server) -> int:
    _, body = send("GET", f"http://127.0.0.1:{server.server_port}/runs")
    count: int = json.loads(body)["served"]
    return count


def test_leaving_backend_server_gets_no_new_requests_during_a_log_outage(
    tmp_path: Path,
) -> None:
    with Fleet(tmp_path) as fleet:
        leaving = fleet.add("a", "batch-board", "kochi-a", ttl_ms=60_000)
        fleet.add("b", "batch-board", "kochi-b")
        fleet.add("c", "inspect-desk", "kochi-b", child="/batches/3")
        fleet.apply(CATALOGUE)
        fleet.wait_ready()
        fleet.log_faults(down=True)
        with load(fleet, ["/batches/1", "/inspections/1"] * 2) as clients:
            wait_until(lambda: served(leaving) > 20, 10, "requests arrive")
            url = f"http://127.0.0.1:{leaving.backend_port}/.masticspoke/backend"
            assert send("DELETE", url)[0] == 204
            time.sleep(2.0)
            before = served(leaving)
            time.sleep(1.0)
            assert served(leaving) == before

            assert leaving.backend is not None
            leaving.backend.kill()
            leaving.backend.wait()
            fleet.start_backend(leaving)
            wait_until(
                lambda: served(leaving) > 0, 10, "the restarted backend server serves"
            )
        assert clients.failed == []
