"""Starved: one heartbeat of another writer takes a sound server out for good."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-3"))
import small

HOST = "hulo84.example"
DESK, BOARD = "/seam/1", "/batch/1"
RATES = {DESK: 10, BOARD: 30}
STRAY_AT_S, SECONDS = 6.0, 60.0
DEADLINE_MS = 5000


async def case(deployment, trouble):
    record = deployment.record
    first, second = deployment.machines

    def work(request):
        return 0.05, 200, b"x" * 400

    routes = [
        ("seam-check", "/seam/", "desk", "idempotent", 5000, 1500),
        ("batch-peek", "/batch/", "board", "idempotent", 5000, 1500),
    ]
    await deployment.start_store()
    await deployment.store.configure(small.configuration(1, routes, ["desk", "board"]))
    servers = [
        small.Backend(record, first, "desk", 54, work),
        small.Backend(record, second, "board", 54, work),
    ]
    for server in servers:
        await server.start()
        await deployment.start_node(server.machine, server.service)
    for machine in deployment.machines:
        await deployment.wait_ready(machine)
    await asyncio.sleep(4)

    started = time.monotonic()
    sent, served, ends = dict.fromkeys(RATES, 0), dict.fromkeys(RATES, 0), {}

    async def attempt_once(path, left_ms):
        attempt = small.attempt_id()
        try:
            async with asyncio.timeout(left_ms / 1000):
                reader, writer = await asyncio.open_connection(
                    second.ip, deployment.ports["outbound"]
                )
                writer.write(small.client_request(HOST, path, attempt, left_ms))
                answer = await small.read_answer(reader)
                writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            record.say(f"client: {attempt} {path} ends: {error!r}")
            return None
        reason = answer.headers.get("masticspoke-reason", "")
        record.say(f"client: {attempt} {path} gets {answer.status} {reason}")
        key = f"{path} {answer.status} {reason}".strip()
        ends[key] = ends.get(key, 0) + 1
        return answer

    async def client(path):
        """Send a request; try once more, as PROTOCOL.md tells."""
        sent_at = time.monotonic()
        sent[path] += 1
        answer = await attempt_once(path, DEADLINE_MS)
        if answer is not None and answer.status != 200:
            after_s = float(answer.headers.get("retry-after", 0.1))
            await asyncio.sleep(min(DEADLINE_MS / 3000, after_s))
            left_ms = DEADLINE_MS - int((time.monotonic() - sent_at) * 1000)
            answer = await attempt_once(path, left_ms)
        served[path] += answer is not None and answer.status == 200

    async def stream(path):
        tasks = []
        while time.monotonic() - started < SECONDS:
            tasks.append(asyncio.create_task(client(path)))
            await asyncio.sleep(1 / RATES[path])
        await asyncio.gather(*tasks)

    async def stray():
        """Send one heartbeat of another writer: its service is named nowhere."""
        await asyncio.sleep(STRAY_AT_S)
        if not trouble:
            return
        state = {
            "service": f"other{random.getrandbits(16)}",
            "address": f"{first.ip}:{deployment.ports['application']}",
            "zone": "kochi-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        answer = await small.call(
            first.ip,
            deployment.ports["control_plane"],
            "POST",
            f"/Instances.Heartbeat/i-{random.getrandbits(32):08x}",
            {"Content-Type": "application/json"},
            json.dumps(state).encode(),
            2.0,
        )
        record.say(f"another writer's heartbeat, {state}: {answer.status}")

    await asyncio.gather(stray(), *(stream(path) for path in RATES))
    shares = {path: served[path] / sent[path] for path in RATES}
    overall = sum(served.values()) / sum(sent.values())
    record.say(f"heartbeats of the server of desk meanwhile: {servers[0].sequence}")
    text = (
        f"served: {', '.join(f'{p} {s:.3f}' for p, s in shares.items())}, all "
        f"{overall:.3f}; {ends}"
    )
    return min(shares.values()) >= overall / 4, text


small.play(Path(__file__).parent, 2, case)
