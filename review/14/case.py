"""LOST: a node that stops breaks off requests that it took late in its stop."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-3"))
import small

HOST = "hulo84.example"
PATH, DEADLINE_MS = "/batch/1", 10000
# Work as in the site: mean 880 ms, spread 0.3, one in a hundred five times as long.
MEAN_S, SPREAD, TAIL_SHARE, TAIL_X, MAX_S = 0.88, 0.3, 0.01, 5.0, 6.6
CLIENTS, PER_S = 180, 90
ROUNDS, PAUSE_S, GRACE_S = 7, 3.2, 6.0
# A request that was sent later than this after the SIGTERM has no excuse.
EXCUSED_S = 3.0


async def case(deployment, trouble):
    record = deployment.record
    entry, *others = deployment.machines
    for machine in others:
        machine.zone = "kochi-b"
    draw = random.Random(7)

    def work(request):
        seconds = MEAN_S * draw.lognormvariate(-(SPREAD**2) / 2, SPREAD)
        if draw.random() < TAIL_SHARE:
            seconds *= TAIL_X
        return min(seconds, MAX_S), 200, b"x" * 1500

    await deployment.start_store()
    routes = [("batch-peek", "/batch/", "board", "idempotent", 10000, 5000)]
    await deployment.store.configure(small.configuration(1, routes, ["board"]))
    servers = [small.Backend(record, m, "board", 35, work) for m in deployment.machines]
    for server in servers:
        await server.start()
        await deployment.start_node(server.machine, server.service)
    for machine in deployment.machines:
        await deployment.wait_ready(machine)
    await asyncio.sleep(4)

    # When the SIGTERM of the current stop was sent; None between stops.
    stop_at, ends, lost = None, {}, []
    playing = True

    async def send(connection, attempt):
        """Send on a kept connection, or else on a new one."""
        if connection is None:
            connection = await asyncio.open_connection(
                entry.ip, deployment.ports["outbound"]
            )
        reader, writer = connection
        writer.write(small.client_request(HOST, PATH, attempt, DEADLINE_MS))
        answer = await small.read_answer(reader)
        if answer.headers.get("connection", "").lower() == "close":
            writer.close()
            connection = None
        return connection, answer

    async def client():
        connection = None
        await asyncio.sleep(random.uniform(0, CLIENTS / PER_S))
        while playing:
            attempt, sent_at, at = small.attempt_id(), time.monotonic(), stop_at
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000):
                    connection, answer = await send(connection, attempt)
                reason = answer.headers.get("masticspoke-reason", "")
                end = f"{answer.status} {reason}".strip()
            except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
                connection, end, answer = None, type(error).__name__, None
            after_s = "" if at is None else f" {sent_at - at:.2f} s after the SIGTERM"
            record.say(f"client: {attempt} sent{after_s} gets {end}")
            ends[end] = ends.get(end, 0) + 1
            runs = [
                (run, server)
                for server in servers
                for run in server.runs[-400:]
                if run[0] == attempt
            ]
            # Broken off at work: no answer of the server, and no promise.
            broken = answer is None or (not answer.signature and answer.status != 503)
            if at is not None and sent_at - at > EXCUSED_S and broken and runs:
                cut_s = time.monotonic() - sent_at
                lost.append(f"{attempt} {end} after {cut_s:.2f} s")
                record.say(f"LOST {lost[-1]}")
            await asyncio.sleep(
                max(0.0, CLIENTS / PER_S - (time.monotonic() - sent_at))
            )

    clients = [asyncio.create_task(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(5)
    for number in range(ROUNDS):
        if trouble:
            record.say(f"SIGTERM {number + 1} to the node beside the clients")
            stop_at = time.monotonic()
            entry.process.terminate()
            try:
                async with asyncio.timeout(GRACE_S):
                    await entry.process.wait()
            except TimeoutError:
                entry.process.kill()
                await entry.process.wait()
            record.say(f"it ended after {time.monotonic() - stop_at:.2f} s")
            await asyncio.sleep(0.3)
            await deployment.start_node(entry, "board")
            await deployment.wait_ready(entry)
            stop_at = None
        await asyncio.sleep(PAUSE_S)
    playing = False
    await asyncio.wait(clients, timeout=11)
    text = (
        f"{len(lost)} requests, sent later than {EXCUSED_S} s after a SIGTERM, were "
        f"broken off while their server was at work: {lost}; {ends}"
    )
    return not lost, text


small.play(Path(__file__).parent, 3, case)
