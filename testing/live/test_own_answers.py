from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import aiohttp
from testing.live.fleet import Fleet
from testing.live.fleet import ROOT

CATALOGUE = ROOT / "examples" / "kerala-south.ini"
REQUESTS = 600
CONCURRENCY = 40


def test_each_client_gets_the_answer_to_its_own_request(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        for name, zone in [("a", "kochi-a"), ("b", "kochi-b"), ("c", "alappuzha-a")]:
            fleet.add(name, "inspect-desk", zone)
        fleet.apply(CATALOGUE)
        fleet.wait_ready()
        answered, mismatched = asyncio.run(ask_all([s.url for s in fleet.servers]))
        assert mismatched == []
        assert answered > REQUESTS // 3


async def ask_all(urls: list[str]) -> tuple[int, list[tuple[int, str]]]:
    """Send requests that overtake each other; cancel a third of them early.

    Return the number of answers and the (sent, received) numbers that differ.
    """
    random = Random(11)
    plans = [
        (n, random.choice(urls), random.uniform(0, 60), random.random() < 1 / 3)
        for n in range(REQUESTS)
    ]
    semaphore = asyncio.Semaphore(CONCURRENCY)
    answered = 0
    mismatched: list[tuple[int, str]] = []

    async def ask(number: int, url: str, latency_ms: float, abandon: bool) -> None:
        nonlocal answered
        target = f"{url}/inspections/1?echo={number}&latency_ms={latency_ms:.0f}"
        timeout = aiohttp.ClientTimeout(total=latency_ms / 2000 if abandon else 20)
        try:
            async with semaphore, session.get(target, timeout=timeout) as response:
                body = await response.json(content_type=None)
        except (TimeoutError, aiohttp.ClientError):
            return
        if response.status != 200:
            return
        answered += 1
        if body["echo"] != str(number):
            mismatched.append((number, body["echo"]))

    connector = aiohttp.TCPConnector(limit=CONCURRENCY)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(ask(*plan) for plan in plans))
    return answered, mismatched
