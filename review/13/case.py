"""CONFIG: a quick route that is added beside slow requests is never served."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-3"))
import small

HOST = "hulo84.example"
FIRST, ADDED = "/batch/1", "/line/1"
WORK_S = {FIRST: 0.88, ADDED: 0.055}
RATES = {FIRST: 10, ADDED: 10}
DEADLINES_MS = {FIRST: 10000, ADDED: 500}
ADDED_AT_S, SECONDS = 10.0, 45.0
PROPAGATION_S = 2.0


async def case(deployment, trouble):
    record = deployment.record
    machine = deployment.machines[0]

    def work(request):
        return WORK_S[request.target], 200, b"x" * 400

    first = ("batch-peek", "/batch/", "board", "idempotent", 10000, 5000)
    added = ("line-view", "/line/", "board", "idempotent", 500, 300)
    await deployment.start_store()
    # Without the disruption, the same route is there from the start.
    routes = [first] if trouble else [first, added]
    await deployment.store.configure(small.configuration(1, routes, ["board"]))
    server = small.Backend(record, machine, "board", 35, work)
    await server.start()
    await deployment.start_node(machine, "board")
    await deployment.wait_ready(machine)
    await asyncio.sleep(4)

    started = time.monotonic()
    # Requests sent and served, by path, in the time that is judged.
    sent, served, ends = dict.fromkeys(RATES, 0), dict.fromkeys(RATES, 0), {}

    async def client(path):
        judged = time.monotonic() - started > ADDED_AT_S + PROPAGATION_S + 1.0
        attempt = small.attempt_id()
        try:
            async with asyncio.timeout(DEADLINES_MS[path] / 1000):
                reader, writer = await asyncio.open_connection(
                    machine.ip, deployment.ports["outbound"]
                )
                request = small.client_request(HOST, path, attempt, DEADLINES_MS[path])
                writer.write(request)
                answer = await small.read_answer(reader)
                writer.close()
            end = f"{answer.status} {answer.headers.get('masticspoke-reason', '')}"
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            end = repr(error)
        record.say(f"client: {attempt} {path} gets {end}")
        if judged:
            sent[path] += 1
            served[path] += end.startswith("200")
            key = f"{path} {end}".strip()
            ends[key] = ends.get(key, 0) + 1

    async def stream(path, from_s):
        await asyncio.sleep(from_s)
        tasks = []
        while time.monotonic() - started < SECONDS:
            tasks.append(asyncio.create_task(client(path)))
            await asyncio.sleep(1 / RATES[path])
        await asyncio.gather(*tasks)

    async def operator():
        await asyncio.sleep(ADDED_AT_S)
        if trouble:
            configuration = small.configuration(2, [first, added], ["board"])
            await deployment.store.configure(configuration)

    from_s = ADDED_AT_S + PROPAGATION_S if trouble else 0.0
    await asyncio.gather(operator(), stream(FIRST, 0.0), stream(ADDED, from_s))
    if sent[ADDED] < 20 or served[FIRST] < sent[FIRST] / 2:
        raise small.CannotRun(f"too little was sent or served: {ends}")
    shares = {path: served[path] / sent[path] for path in RATES}
    text = f"served {shares} of {sent}; {ends}"
    return shares[ADDED] >= shares[FIRST] / 4, text


small.play(Path(__file__).parent, 1, case)
