"""Send requests at a fixed rate and check each answer."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

import aiohttp

REFUSED_HEADER = "Masticspoke-Refused"
RESEND_EVERY = 3


@dataclass(frozen=True)
class Kind:
    """A kind of request: its class, and how it is sent and checked.

    :param service: service that must answer.
    :param child: service that must answer the nested request, if any.
    """

    name: str
    class_name: str
    method: str
    path: str
    service: str
    child: str = ""

    @property
    def is_booking(self) -> bool:
        return self.method == "POST"


@dataclass
class Tally:
    """Outcomes of all requests, by class.

    Checks that run nodes of two builds side by side use these fields, so their names
    stay.

    :param served: correct or wrong answers with status 200.
    :param refused: refusals by (class, reason).
    :param inner: answers with another status that are no refusals: a nested request
        failed.
    :param cut: requests that timed out, or whose connection failed before the answer
        was complete.
    :param answered_keys: tokens of the served requests; a booking sends its token as
        its idempotency key.
    :param not_run_keys: tokens of requests refused with ``ran`` equal to ``no``.
    :param unknown_keys: tokens of the other refused requests.
    :param broken: a description of each violated guarantee.
    """

    served: Counter[str] = field(default_factory=Counter)
    refused: Counter[tuple[str, str]] = field(default_factory=Counter)
    inner: Counter[str] = field(default_factory=Counter)
    cut: Counter[str] = field(default_factory=Counter)
    answered_keys: set[str] = field(default_factory=set)
    not_run_keys: set[str] = field(default_factory=set)
    unknown_keys: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)

    def sent(self, class_name: str) -> int:
        refused = sum(n for (name, _), n in self.refused.items() if name == class_name)
        return (
            self.served[class_name]
            + refused
            + self.inner[class_name]
            + self.cut[class_name]
        )


async def send(
    session: aiohttp.ClientSession, url: str, kind: Kind, tally: Tally, token: str = ""
) -> None:
    """Send one request. A truncated answer is counted, but violates no guarantee.

    :param token: identifies the user action; a re-send passes the same token.
    """
    token = token or uuid.uuid4().hex
    headers = {"Idempotency-Key": token} if kind.is_booking else {}
    separator = "&" if "?" in kind.path else "?"
    target = f"{url}{kind.path}{separator}echo={token}"
    try:
        async with session.request(kind.method, target, headers=headers) as response:
            await _check_answer(response, kind, token, tally)
    except (aiohttp.ClientError, TimeoutError):
        tally.cut[kind.class_name] += 1


async def _check_answer(
    response: aiohttp.ClientResponse, kind: Kind, token: str, tally: Tally
) -> None:
    if REFUSED_HEADER in response.headers:
        problem = await response.json(content_type="application/problem+json")
        tally.refused[kind.class_name, problem["reason"]] += 1
        not_run = problem["ran"] == "no"
        (tally.not_run_keys if not_run else tally.unknown_keys).add(token)
        return
    if response.status != 200:
        await response.read()
        tally.inner[kind.class_name] += 1
        return
    answer = await response.json()
    tally.served[kind.class_name] += 1
    tally.answered_keys.add(token)
    child = answer["child"]["service"] if answer["child"] else ""
    if (answer["echo"], answer["service"], child) != (token, kind.service, kind.child):
        tally.broken.append(f"wrong answer to {kind.name}: {answer}")


async def send_at_rate(
    session: aiohttp.ClientSession,
    urls: Callable[[], Sequence[str]],
    kinds: Sequence[Kind],
    per_s: float,
    duration_s: float,
    tally: Tally,
) -> None:
    """Start ``per_s`` requests a second, without waiting for earlier answers.

    Each request goes to a random URL. A booking whose number is a multiple of
    ``RESEND_EVERY`` is sent twice at the same time.

    :param urls: returns the URLs of the nodes in use.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    tasks = []
    for i in range(int(per_s * duration_s)):
        await asyncio.sleep(max(0.0, started_at + i / per_s - loop.time()))
        kind = kinds[i % len(kinds)]
        token = uuid.uuid4().hex
        for _ in range(2 if kind.is_booking and i % RESEND_EVERY == 0 else 1):
            call = send(session, random.choice(urls()), kind, tally, token)
            tasks.append(asyncio.create_task(call))
    await asyncio.gather(*tasks)
