"""MIXED: the beginning of an extra answer turns a backend's 500 into a success."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "parts-3"))
import small

HOST = "hulo84.example"
# Of the answers of the faulty server: spoilt ones, and its own failures.
EXTRA_SHARE = 0.03
FAILURE_SHARE = 0.1
REQUESTS, PER_S = 2400, 60


async def case(deployment, trouble):
    record = deployment.record
    draw = random.Random(7)
    given = {}

    def work(request):
        return 0.02, 500 if draw.random() < FAILURE_SHARE else 200, b"x" * 400

    async def sound(server, request, status, headers, body, writer):
        given.setdefault(request.headers["x-attempt-id"], set()).add(status)
        return False

    async def faulty(server, request, status, headers, body, writer):
        given.setdefault(request.headers["x-attempt-id"], set()).add(status)
        headers = {"Content-Type": "application/octet-stream", **headers}
        answer = small.answer_bytes(status, headers, body)
        if trouble and draw.random() < EXTRA_SHARE:
            # An extra answer, broken off in its first header.
            record.say(f"backend: extra bytes behind {request.headers['x-attempt-id']}")
            answer += b"HTTP/1.1 200 OK\r\nContent-Type: application/octet"
        writer.write(answer)
        await writer.drain()
        return True

    await deployment.start_store()
    routes = [("seam-check", "/seam/", "desk", "idempotent", 5000, 1500)]
    await deployment.store.configure(small.configuration(1, routes, ["desk"]))
    for number, machine in enumerate(deployment.machines):
        # One of the two servers is faulty.
        server = small.Backend(
            record, machine, "desk", 54, work, faulty if number == 0 else sound
        )
        await server.start()
        await deployment.start_node(machine, "desk")
    for machine in deployment.machines:
        await deployment.wait_ready(machine)
    await asyncio.sleep(4)

    wrong, ends = [], {}

    async def client(number):
        attempt = small.attempt_id()
        try:
            async with asyncio.timeout(5.0):
                entry = deployment.machines[number % 2]
                reader, writer = await asyncio.open_connection(
                    entry.ip, deployment.ports["outbound"]
                )
                writer.write(
                    small.client_request(HOST, f"/seam/{number}", attempt, 5000)
                )
                answer = await small.read_answer(reader)
                writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            ends[repr(error)] = ends.get(repr(error), 0) + 1
            return
        own = "" if answer.signature else " (the node's own)"
        record.say(f"client: {attempt} gets {answer.status} {answer.signature}{own}")
        key = f"{answer.status}{own}"
        ends[key] = ends.get(key, 0) + 1
        statuses = given.get(attempt, set())
        if answer.signature and answer.status not in statuses:
            wrong.append(f"{attempt}: servers {statuses}, client {answer.status}")
            record.say(f"WRONG {wrong[-1]}")

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(client(number)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    if not any(key.startswith("200") for key in ends):
        raise small.CannotRun(f"nothing was served: {ends}")
    text = f"{len(wrong)} answers with another status than the server's; {ends}"
    return not wrong, text


small.play(Path(__file__).parent, 2, case)
