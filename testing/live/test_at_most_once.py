from __future__ import annotations

import json
import signal
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import pytest
from testing.live.fleet import Fleet
from testing.live.fleet import http
from testing.live.fleet import ROOT
from testing.live.fleet import Server
from testing.live.fleet import wait_until
from testing.matching import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from _masticspoke.decisions.once.placement import home_of
from _masticspoke.decisions.once.placement import key_digest
from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.model import View

CATALOGUE = ROOT / "examples" / "kerala-south.ini"
SERVICE = "tooling-desk"
ZONES = ("kochi-a", "kochi-b", "alappuzha-a")
FAILURE_DETECTION_S = 30.0


@dataclass(frozen=True)
class Answer:
    code: int
    reason: str = ""
    ran: str = ""
    body: bytes = b""


@dataclass
class Bookings:
    """Sends bookings and records the answers to each key."""

    answers: dict[str, list[Answer]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def send(self, server: Server, key: str, latency_ms: int = 5) -> Answer:
        url = f"{server.url}/bookings?latency_ms={latency_ms}"
        try:
            code, body = http("POST", url, b"{}", {"Idempotency-Key": key})
        except OSError:
            answer = Answer(0, "connection lost", "unknown")
        else:
            answer = Answer(code, body=body)
            if code != 200:
                problem = json.loads(body)
                answer = Answer(code, problem["reason"], problem["ran"])
        with self.lock:
            self.answers.setdefault(key, []).append(answer)
        return answer

    def start(self, server: Server, key: str, latency_ms: int = 5) -> threading.Thread:
        thread = threading.Thread(target=self.send, args=(server, key, latency_ms))
        thread.start()
        return thread

    def violations(self, servers: list[Server]) -> list[str]:
        runs: dict[str, int] = {}
        for server in servers:
            for key, count in server.runs().items():
                runs[key] = runs.get(key, 0) + count
        broken = [f"{k}: ran {n} times" for k, n in runs.items() if n > 1]
        for key, answers in self.answers.items():
            bodies = {a.body for a in answers if a.code == 200}
            if len(bodies) > 1:
                broken.append(f"{key}: different answers")
            if bodies and key not in runs:
                broken.append(f"{key}: answered, but it did not run")
            if key in runs and all(a.ran == "no" for a in answers):
                broken.append(f"{key}: refused only as not run, but it ran")
        return broken


@contextmanager
def running_fleet(
    folder: Path, size: int = 3, catalogue: Path = CATALOGUE
) -> Iterator[Fleet]:
    with Fleet(folder) as fleet:
        for index in range(size):
            fleet.add(f"n{index}", SERVICE, ZONES[index % len(ZONES)])
        fleet.apply(catalogue)
        fleet.wait_ready()
        yield fleet


def home_server(servers: list[Server], key: str) -> Server:
    """Return the server whose node is the key's home while all nodes are members."""
    nodes = {Address("127.0.0.1", s.peer_port): s for s in servers}
    members = tuple(Member(SERVICE, n, n, "", "", 1, 1) for n in nodes)
    home = home_of(View(SERVICE, 1, 0, members), key_digest(SERVICE, key))
    assert home is not None
    return nodes[home.node]


def keys_with_home(servers: list[Server], home: Server, count: int) -> list[str]:
    keys = (f"key-{n}" for n in range(10_000))
    matching_keys = (k for k in keys if home_server(servers, k) is home)
    return [next(matching_keys) for _ in range(count)]


def send_through_all(
    bookings: Bookings, servers: list[Server], keys: list[str]
) -> None:
    """Send each key twice through each server, all at the same time."""
    threads = [
        bookings.start(server, key)
        for key in keys
        for server in servers
        for _ in range(2)
    ]
    for thread in threads:
        thread.join()


def wait_until_served(bookings: Bookings, server: Server, key: str) -> None:
    attempts = iter(range(1_000))

    def served() -> bool:
        return bookings.send(server, f"{key}-{next(attempts)}").code == 200

    wait_until(served, FAILURE_DETECTION_S, "a fresh key is served again")


def test_a_key_sent_through_every_node_runs_once(tmp_path: Path) -> None:
    with running_fleet(tmp_path) as fleet:
        bookings = Bookings()

        send_through_all(bookings, fleet.servers, [f"k{n}" for n in range(8)])

        assert_that(bookings.violations(fleet.servers), Equals([]))
        codes = {a.code for answers in bookings.answers.values() for a in answers}
        assert_that(codes, Equals({200}))


def test_violations_are_found_for_a_kind_without_a_home(tmp_path: Path) -> None:
    catalogue = tmp_path / "idempotent.ini"
    text = CATALOGUE.read_text().replace("idempotent = no", "idempotent = yes")
    catalogue.write_text(text)
    with running_fleet(tmp_path, catalogue=catalogue) as fleet:
        bookings = Bookings()

        send_through_all(bookings, fleet.servers, ["k0"])

        broken = bookings.violations(fleet.servers)
        assert any("k0: ran" in violation for violation in broken), broken


def test_no_violations_when_the_home_is_killed_during_runs(tmp_path: Path) -> None:
    with running_fleet(tmp_path) as fleet:
        servers = fleet.servers
        home, other, third = servers
        bookings = Bookings()
        keys = keys_with_home(servers, home, 4)
        threads = [bookings.start(other, key, 800) for key in keys]
        time.sleep(0.3)

        assert home.node is not None
        home.node.kill()
        home.node.wait()
        send_through_all(bookings, [other, third], keys)
        for thread in threads:
            thread.join()
        wait_until_served(bookings, other, keys[0])
        fleet.start_node(home)
        fleet.wait_ready()
        send_through_all(bookings, servers, keys)

        assert_that(bookings.violations(servers), Equals([]))


def test_no_violations_when_the_home_is_paused_until_it_is_removed(
    tmp_path: Path,
) -> None:
    with running_fleet(tmp_path) as fleet:
        servers = fleet.servers
        home, other, third = servers
        bookings = Bookings()
        before, during = (
            keys_with_home(servers, home, 8)[:4],
            keys_with_home(servers, home, 8)[4:],
        )
        threads = [bookings.start(other, key, 800) for key in before]
        time.sleep(0.3)

        assert home.node is not None
        home.node.send_signal(signal.SIGSTOP)
        threads += [bookings.start(third, key) for key in during]
        for thread in threads:
            thread.join()
        wait_until_served(bookings, other, during[0])
        send_through_all(bookings, [other, third], before + during)
        home.node.send_signal(signal.SIGCONT)
        send_through_all(bookings, servers, before + during)

        assert_that(bookings.violations(servers), Equals([]))


@pytest.mark.parametrize("fault", ["outage", "lost append answers"])
def test_bookings_are_served_without_the_log(tmp_path: Path, fault: str) -> None:
    with running_fleet(tmp_path) as fleet:
        servers = fleet.servers
        bookings = Bookings()
        keys = [f"k{n}" for n in range(9)]
        FAULTS[fault](fleet)

        send_through_all(bookings, servers, keys[:6])
        fleet.log_faults(down=False)
        send_through_all(bookings, servers, keys)

        assert_that(bookings.violations(servers), Equals([]))
        codes = {a.code for answers in bookings.answers.values() for a in answers}
        assert_that(codes, Equals({200}))


def outage(fleet: Fleet) -> None:
    fleet.log_faults(down=True)


def lost_append_answers(fleet: Fleet) -> None:
    fleet.log_faults(lose_append_answers=6)


FAULTS: dict[str, Callable[[Fleet], None]] = {
    "outage": outage,
    "lost append answers": lost_append_answers,
}


def test_no_violations_while_views_change_under_load(tmp_path: Path) -> None:
    with running_fleet(tmp_path) as fleet:
        servers = list(fleet.servers)
        bookings = Bookings()
        stop = threading.Event()

        def load(worker: int) -> None:
            number = 0
            while not stop.is_set():
                key = f"w{worker}-{number}"
                for offset in range(2):
                    server = servers[(worker + number + offset) % len(servers)]
                    bookings.send(server, key)
                number += 1

        workers = [threading.Thread(target=load, args=(n,)) for n in range(4)]
        for worker in workers:
            worker.start()
        fleet.add("late", SERVICE, "kochi-a")
        fleet.wait_ready()
        killed = servers[0]
        assert killed.node is not None
        killed.node.kill()
        killed.node.wait()
        wait_until_served(bookings, servers[1], "after")
        fleet.log_faults(down=True)
        time.sleep(1.0)
        fleet.log_faults(down=False)
        fleet.start_node(killed)
        fleet.wait_ready()
        stop.set()
        for worker in workers:
            worker.join()

        assert_that(bookings.violations(fleet.servers), Equals([]))
        all_answers = [a for answers in bookings.answers.values() for a in answers]
        assert sum(a.code == 200 for a in all_answers) > len(all_answers) // 2


@pytest.mark.parametrize("key", ["", "k0"])
def test_booking_that_may_have_run_is_not_retried(tmp_path: Path, key: str) -> None:
    with running_fleet(tmp_path) as fleet:
        url = f"{fleet.servers[0].url}/bookings?crash=1"
        headers = {"Idempotency-Key": key} if key else {}

        answers = [http("POST", url, b"{}", headers) for _ in range(2 if key else 1)]

        for code, body in answers:
            assert code != 200
            assert json.loads(body)["ran"] == "unknown"
        crashed = [s for s in fleet.servers if s.backend and s.backend.poll() == 9]
        assert_that(crashed, HasLength(1))
