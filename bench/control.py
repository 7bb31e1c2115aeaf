"""Measure gossip, membership records and snapshots by fleet size, and HTTP heads.

``python -m bench.control`` prints one JSON object. Everything runs in memory, except
the HTTP heads, which are read from a loopback socket.
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

MEMBERS_PER_SERVICE = 6


def restarted_member(number: int, serial: int = 0) -> Member:
    """Return a member after ``serial`` restarts of its node."""
    service = f"service-{number // MEMBERS_PER_SERVICE:04d}"
    incarnation = f"019a2b3c4d5e-0123abcd-{serial:04x}"
    return replace(member(number), service=service, incarnation=incarnation)


def message_bytes() -> dict[str, int]:
    """Return the sizes of an empty digest and of the largest gossip messages."""
    own = restarted_member(0).node
    updates = tuple(
        hints.member_hint(restarted_member(n)) for n in range(hints.MAX_UPDATES)
    )
    page = [hints.member_hint(restarted_member(n)) for n in range(PAGE_HINTS)]
    return {
        "digest_without_news": len(encode_digest(Digest(own, 10_000, 2**32 - 1))),
        "digest_full": len(encode_digest(Digest(own, 10_000, 2**32 - 1, updates))),
        "page_full": len(encode_page(page, None)),
    }


async def head_bytes() -> dict[str, int]:
    """Return the sizes of the HTTP heads of one gossip exchange."""
    sizes = {"request": 0}

    async def receive_head(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        sizes["request"] = len(head)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()
        writer.close()

    raw_server = await asyncio.start_server(receive_head, "127.0.0.1", 0)
    port = raw_server.sockets[0].getsockname()[1]
    connections = Connections()
    await connections.open(1.0)
    path = "/.masticspoke/gossip"
    url = f"http://127.0.0.1:{port}{path}"
    async with connections.session.post(url, data=b"x" * 100):
        pass
    raw_server.close()

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
    sizes["response"] = len(await reader.readuntil(b"\r\n\r\n"))
    writer.close()
    await runner.cleanup()
    await connections.close()
    return sizes


def measure_reduction(nodes: int) -> dict[str, float]:
    """Measure membership records of ``nodes`` nodes: state, snapshot and replay."""
    data = [encode_record(Joined(restarted_member(n))) for n in range(nodes)]
    tracemalloc.start()
    state = MembersState()
    for offset, record in enumerate(data):
        value = decode_membership(record)
        assert isinstance(value, Joined)
        state = reduce_membership(state, value, offset)
    state_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    snapshot = encode_record(Snapshot(nodes - 1, state))
    restarts = [
        encode_record(Joined(restarted_member(n, 1)))
        for n in range(0, nodes, max(1, nodes // 50))
    ]
    started = time.process_time()
    for offset, record in enumerate(restarts, nodes):
        value = decode_membership(record)
        assert isinstance(value, Joined)
        state = reduce_membership(state, value, offset)
    per_record_us = (time.process_time() - started) / len(restarts) * 1e6
    return {
        "nodes": nodes,
        "state_bytes_per_node": round(state_bytes / nodes),
        "snapshot_bytes_per_node": round(len(snapshot) / nodes),
        "reduce_us_per_record": round(per_record_us),
    }


def measure_gossip(nodes: int, changes: int, seed: int) -> dict[str, float]:
    """Count gossip rounds until ``changes`` simultaneous restarts reach all nodes."""
    random = Random(seed)
    members = [restarted_member(n) for n in range(nodes)]
    addresses = [m.node for m in members]
    state = hints.merge(HintsState(), map(hints.member_hint, members))
    initial = HintsState(state.by_node, {}, state.checksum)
    states = dict.fromkeys(addresses, initial)
    watched_nodes = {a: liveness.watched_nodes(members, a) for a in addresses}
    for number in range(changes):
        new = hints.member_hint(restarted_member(number, 1))
        states[new.node] = hints.merge(states[new.node], (new,))
    final_checksum = hints.merge(
        initial, [hints.member_hint(restarted_member(n, 1)) for n in range(changes)]
    ).checksum
    rounds = sent_hints = message_count = 0
    while any(s.checksum != final_checksum for s in states.values()) and rounds < 60:
        rounds += 1
        for own in random.sample(addresses, nodes):
            states[own], updates = hints.take_updates(states[own])
            partner = random.choice(addresses)
            for other in {*watched_nodes[own], partner} - {own}:
                states[other] = hints.merge(states[other], updates)
                states[other], reply_updates = hints.take_updates(states[other])
                states[own] = hints.merge(states[own], reply_updates)
                sent_hints += len(updates) + len(reply_updates)
                message_count += 2
    return {
        "nodes": nodes,
        "changes_at_once": changes,
        "rounds_until_all_know": rounds,
        "hints_per_message": round(sent_hints / max(1, message_count), 2),
    }


def main() -> None:
    """Print all measurements."""
    results = {
        "bytes": message_bytes(),
        "http_head_bytes": asyncio.run(head_bytes()),
        "members": [measure_reduction(n) for n in (30, 300, 3_000, 15_000)],
        "gossip": [
            measure_gossip(nodes, changes, seed=1)
            for nodes, changes in ((30, 1), (100, 1), (300, 1), (300, 30), (1_000, 1))
        ],
    }
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
