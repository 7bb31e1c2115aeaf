"""LOST: answers of sound backends go down with a download in front of them."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-3"))
import small

HOST = "hulo84.example"
# The faulty one of two download servers breaks off this share of its answers.
BROKEN_SHARE = 0.05
CLIENTS, SECONDS, BEHIND = 10, 70, 4
LENGTH = 2_000_000


async def case(deployment, trouble):
    record = deployment.record
    first, second, third = deployment.machines
    draw = random.Random(7)

    def download(request):
        return 0.05, 200, b"d" * LENGTH

    def look(request):
        return 0.05, 200, b"x" * 400

    async def break_off(server, request, status, headers, body, writer):
        if not trouble or draw.random() >= BROKEN_SHARE:
            return False
        record.say(f"backend: breaks off {request.headers['x-attempt-id']}")
        writer.write(small.answer_bytes(status, headers, body)[: LENGTH * 3 // 4])
        await writer.drain()
        raise ConnectionResetError

    await deployment.start_store()
    routes = [
        ("pull", "/pull/", "vault", "download", 5000, 1500),
        ("seam-check", "/seam/", "desk", "idempotent", 5000, 1500),
    ]
    services = ["vault", "desk"]
    await deployment.store.configure(small.configuration(1, routes, services))
    servers = [
        small.Backend(record, first, "vault", 71, download, break_off),
        small.Backend(record, second, "vault", 71, download),
        small.Backend(record, third, "desk", 54, look),
    ]
    for server in servers:
        await server.start()
        await deployment.start_node(server.machine, server.service)
    for machine in deployment.machines:
        await deployment.wait_ready(machine)
    await asyncio.sleep(4)

    desk, entry = servers[2], deployment.machines[2]
    lost, counts = [], {"answered": 0, "connections cut": 0}
    end = asyncio.get_running_loop().time() + SECONDS

    async def client(number):
        while asyncio.get_running_loop().time() < end:
            reader, writer = await asyncio.open_connection(
                entry.ip, deployment.ports["outbound"]
            )
            waiting = []
            try:
                # The connection is a kept one: a request was answered on it before.
                attempt = small.attempt_id()
                writer.write(small.client_request(HOST, "/seam/0", attempt, 5000))
                await small.read_answer(reader)
                while asyncio.get_running_loop().time() < end:
                    targets = ["/pull/1"] + ["/seam/1"] * BEHIND
                    waiting = [(small.attempt_id(), target) for target in targets]
                    for attempt, target in waiting:
                        record.say(f"client {number}: sends {attempt} {target}")
                        writer.write(small.client_request(HOST, target, attempt, 5000))
                    while waiting:
                        answer = await small.read_answer(reader)
                        attempt, _ = waiting.pop(0)
                        counts["answered"] += 1
                        record.say(f"client {number}: {attempt} gets {answer.status}")
                    await asyncio.sleep(0.1)
            except (OSError, asyncio.IncompleteReadError):
                counts["connections cut"] += 1
                await asyncio.sleep(0.2)  # a run may be about to end
                ran = {run[0] for run in desk.runs}
                for attempt, target in waiting:
                    reached = target.startswith("/seam/") and attempt in ran
                    record.say(
                        f"client {number}: the connection ends, {attempt} {target} has "
                        f"no answer; run by the sound server: {reached}"
                    )
                    if reached:
                        lost.append(attempt)
            finally:
                writer.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    if counts["answered"] < 100:
        raise small.CannotRun(f"hardly anything was served: {counts}")
    text = (
        f"{len(lost)} requests were run by the sound server and not answered; {counts}"
    )
    return len(lost) <= 3, text


small.play(Path(__file__).parent, 3, case)
