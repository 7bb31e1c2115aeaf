"""Measure how control scales: rounds of gossip, snapshots, records, HTTP heads.

``python -m bench.control`` prints one JSON object. All channels are in memory
but for the HTTP heads, which are read from a loopback socket.
"""

from __future__ import annotations

import asyncio
import json
import time
import tracemalloc
from dataclasses import replace
from random import Random

from aiohttp import web

from _masticspoke.border.gossip import encode_digest
from _masticspoke.border.gossip import encode_page
from _masticspoke.border.gossip import PAGE_HINTS
from _masticspoke.border.records import decode_membership
from _masticspoke.border.records import encode_record
from _masticspoke.connections import Connections
from _masticspoke.decisions import hints
from _masticspoke.decisions import liveness
from _masticspoke.decisions.hints import HintsState
from _masticspoke.decisions.members import Joined
from _masticspoke.decisions.members import MembersState
from _masticspoke.decisions.members import reduce_membership
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.messages.control import Digest
from _masticspoke.model import Member
from bench.capacity import member

PER_SERVICE = 6


def restarted(number: int, serial: int = 0) -> Member:
    """Return a member, six to a service, after ``serial`` restarts."""
    service = f"service-{number // PER_SERVICE:04d}"
    incarnation = f"019a2b3c4d5e-0123abcd-{serial:04x}"
    return replace(member(number), service=service, incarnation=incarnation)


def message_bytes() -> dict[str, int]:
    """Return the size of the largest messages between nodes."""
    own = restarted(0).node
    news = tuple(hints.member_hint(restarted(n)) for n in range(hints.MAX_UPDATES))
    page = [hints.member_hint(restarted(n)) for n in range(PAGE_HINTS)]
    return {
        "digest_without_news": len(encode_digest(Digest(own, 10_000, 2**32 - 1))),
        "digest_full": len(encode_digest(Digest(own, 10_000, 2**32 - 1, news))),
        "page_full": len(encode_page(page, None)),
    }


async def head_bytes() -> dict[str, int]:
    """Count the bytes of HTTP heads of one gossip exchange."""
    got = {"request": 0}

    async def count(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        got["request"] = len(head)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        writer.close()

    raw = await asyncio.start_server(count, "127.0.0.1", 0)
    port = raw.sockets[0].getsockname()[1]
    connections = Connections()
    await connections.open(1.0)
    path = "/.masticspoke/gossip"
    url = f"http://127.0.0.1:{port}{path}"
    async with connections.session.post(url, data=b"x" * 100):
        pass
    raw.close()

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=b"x" * 100, content_type="application/json")

    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".encode()
    )
    got["response"] = len(await reader.readuntil(b"\r\n\r\n"))
    writer.close()
    await runner.cleanup()
    await connections.close()
    return got


def reduction(nodes: int) -> dict[str, float]:
    """Measure reading membership records of ``nodes`` nodes."""
    data = [encode_record(Joined(restarted(n))) for n in range(nodes)]
    tracemalloc.start()
    state = MembersState()
    for offset, record in enumerate(data):
        value = decode_membership(record)
        assert isinstance(value, Joined)
        state = reduce_membership(state, value, offset)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    snapshot = encode_record(Snapshot(nodes - 1, state))
    again = [
        encode_record(Joined(restarted(n, 1)))
        for n in range(0, nodes, max(1, nodes // 50))
    ]
    started = time.process_time()
    for offset, record in enumerate(again, nodes):
        value = decode_membership(record)
        assert isinstance(value, Joined)
        state = reduce_membership(state, value, offset)
    per_record_us = (time.process_time() - started) / len(again) * 1e6
    return {
        "nodes": nodes,
        "state_bytes_per_node": round(held / nodes),
        "snapshot_bytes_per_node": round(len(snapshot) / nodes),
        "reduce_us_per_record": round(per_record_us),
    }


def spread(nodes: int, changes: int, seed: int) -> dict[str, float]:
    """Count gossip rounds until all nodes know ``changes`` restarts at once."""
    random = Random(seed)
    members = [restarted(n) for n in range(nodes)]
    addresses = [m.node for m in members]
    state = hints.merge(HintsState(), map(hints.member_hint, members))
    quiet = HintsState(state.by_node, {}, state.checksum)
    states = dict.fromkeys(addresses, quiet)
    watched_nodes = {a: liveness.watched_nodes(members, a) for a in addresses}
    for number in range(changes):
        new = hints.member_hint(restarted(number, 1))
        states[new.node] = hints.merge(states[new.node], (new,))
    wanted = hints.merge(
        quiet, [hints.member_hint(restarted(n, 1)) for n in range(changes)]
    ).checksum
    rounds = told = sent = 0
    while any(s.checksum != wanted for s in states.values()) and rounds < 60:
        rounds += 1
        for own in random.sample(addresses, nodes):
            states[own], news = hints.take_updates(states[own])
            partner = random.choice(addresses)
            for other in {*watched_nodes[own], partner} - {own}:
                states[other] = hints.merge(states[other], news)
                states[other], back = hints.take_updates(states[other])
                states[own] = hints.merge(states[own], back)
                told += len(news) + len(back)
                sent += 2
    return {
        "nodes": nodes,
        "changes_at_once": changes,
        "rounds_until_all_know": rounds,
        "hints_per_message": round(told / max(1, sent), 2),
    }


def main() -> None:
    """Print all measurements."""
    found = {
        "bytes": message_bytes(),
        "http_head_bytes": asyncio.run(head_bytes()),
        "members": [reduction(n) for n in (30, 300, 3_000, 15_000)],
        "gossip": [
            spread(nodes, changes, seed=1)
            for nodes, changes in ((30, 1), (100, 1), (300, 1), (300, 30), (1_000, 1))
        ],
    }
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
