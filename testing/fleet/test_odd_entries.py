from __future__ import annotations

import asyncio
import json
from math import inf
from math import nan
from pathlib import Path

import pytest
from testing.fleet.platform_fleet import PlatformFleet
from testing.fleet.platform_fleet import run_scenario
from testing.fleet.platform_fleet import wait_until
from testing.fleet.test_path import READ

from _masticspoke.border.addresses import parse_address
from _masticspoke.border.crash_report import report_key
from _masticspoke.events import counted_events
from _masticspoke.events import Event
from _masticspoke.platform.log import keyed_record
from _masticspoke.platform.names import SERVERS_STREAM

CRASHES = (Event.CHILD_CRASHED.value.number, Event.HANDLER_CRASHED.value.number)
SOUND = ["127.0.9.9:80", "desk", "i-9", 1000, 1, "z1", 10, 0, 0]


def odd_state(position: int, value: object) -> bytes:
    return json.dumps([*SOUND[:position], value, *SOUND[position + 1 :]]).encode()


ODD_STATES = {
    "deeply nested": b"[" * 100_000,
    "infinite start": odd_state(3, 0).replace(b" 0, 1,", b" 1e999, 1,"),
    "start too large": odd_state(3, 10**40),
    "sequence too large": odd_state(4, 10**40),
    "slots too large": odd_state(6, 10**400),
    "half of a surrogate pair": odd_state(2, "i-\ud83d"),
    "the same in raw bytes": odd_state(2, "i-X").replace(b"X", b"\xed\xa0\xbd"),
    "service in no script": odd_state(1, "\udfff"),
    "zone with a line break": odd_state(5, "z1\r\n"),
    "endless instance": odd_state(2, "i" * 100_000),
    "no slots": odd_state(6, 0),
    "port out of range": odd_state(0, "127.0.9.9:70000"),
    "no list": b"7",
}


ODD_REPORTS = {
    "no list": b"7",
    "deeply nested": b"[" * 100_000,
    "infinite time": b'["127.0.9.9:80",[["i",1,1e999,""]],[]]',
    "many crashes": b'["127.0.9.9:80",[' + b"[]," * 100 + b"[]],[]]",
}


@pytest.mark.parametrize("entry", ODD_STATES.values(), ids=ODD_STATES)
def test_odd_entry_among_the_states_stops_no_node_that_reads_it(
    tmp_path: Path, entry: bytes
) -> None:
    events: list[int] = []

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        record = keyed_record("127.0.9.9:80", entry)
        fleet.log.add(fleet.log.stream(SERVERS_STREAM), [record])
        nodes = [await fleet.add("desk"), await fleet.add("desk")]
        await fleet.wait_until_synchronised()
        fleet.log.add(fleet.log.stream(SERVERS_STREAM), [record])
        nodes.append(await fleet.add("desk"))
        await fleet.wait_until_synchronised()
        for node in nodes:
            assert (await fleet.ask(node, "/read/1"))[0] == 200

    with counted_events(events.append):
        run_scenario(tmp_path, scenario)
    assert not [number for number in events if number in CRASHES]


@pytest.mark.parametrize("entry", ODD_REPORTS.values(), ids=ODD_REPORTS)
def test_odd_crash_report_stops_no_node_that_reads_it(
    tmp_path: Path, entry: bytes
) -> None:
    events: list[int] = []

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        record = keyed_record(report_key(parse_address("127.0.9.9:80")), entry)
        fleet.log.add(fleet.log.stream(SERVERS_STREAM), [record])
        node = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        assert (await fleet.ask(node, "/read/1"))[0] == 200

    with counted_events(events.append):
        run_scenario(tmp_path, scenario)
    assert not [number for number in events if number in CRASHES]


@pytest.mark.parametrize("entry", ODD_STATES.values(), ids=ODD_STATES)
def test_odd_exchange_from_a_peer_stops_no_node(tmp_path: Path, entry: bytes) -> None:
    events: list[int] = []

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        node = await fleet.add("desk")
        await fleet.wait_until_synchronised()
        states = b'"servers":[' + entry + b"]"
        body = b'{"version":1,"digest":1,"configuration":"",' + states + b"}"
        url = f"http://{node.parts.settings.nodes}/.masticspoke/sync"
        async with fleet.session.post(url, data=body) as answer:
            assert answer.status in (200, 400)
        assert (await fleet.ask(node, "/read/1"))[0] == 200

    with counted_events(events.append):
        run_scenario(tmp_path, scenario)
    assert not [number for number in events if number in CRASHES]


ODD_CONFIGURATIONS = {
    "deeply nested": b"[" * 100_000,
    "infinite version": b'{"version":1e999,"routes":{"columns":[],"rows":[]}}',
}


@pytest.mark.parametrize("raw", ODD_CONFIGURATIONS.values(), ids=ODD_CONFIGURATIONS)
def test_odd_configuration_does_not_stop_the_follower(
    tmp_path: Path, raw: bytes
) -> None:
    events: list[int] = []

    async def scenario(fleet: PlatformFleet) -> None:
        stream = fleet.log.stream("keyed.op")
        fleet.log.add(stream, [keyed_record("config", raw)])
        node = await fleet.add("desk")
        fleet.log.add(stream, [keyed_record("config", raw)])
        fleet.publish(READ)
        await wait_until(lambda: node.parts.configuration.value is not None)

    with counted_events(events.append):
        run_scenario(tmp_path, scenario)
    assert not [number for number in events if number in CRASHES]


ODD_ROUTES = {
    "infinite timeout": [*READ[:4], inf, *READ[5:]],
    "infinite latency": [*READ[:5], inf, *READ[6:]],
    "latency that is no number": [*READ[:5], nan, *READ[6:]],
    "infinite weight": [
        *READ[:7],
        [{"service": "desk", "weight": inf}, {"service": "desk", "weight": 1}],
        *READ[8:],
    ],
    "lowest priority": [*READ[:6], -10_000, *READ[7:]],
}


@pytest.mark.parametrize("route", ODD_ROUTES.values(), ids=ODD_ROUTES)
def test_odd_number_in_a_configuration_fails_no_request(
    tmp_path: Path, route: list[object]
) -> None:
    events: list[int] = []

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.publish(READ)
        entry, _ = await fleet.add("front"), await fleet.add("desk")
        await fleet.wait_until_synchronised()
        fleet.publish(route)
        await asyncio.sleep(0.3)
        for _ in range(3):
            assert (await fleet.ask(entry, "/read/1"))[0] == 200

    with counted_events(events.append):
        run_scenario(tmp_path, scenario)
    assert not [number for number in events if number in CRASHES]
