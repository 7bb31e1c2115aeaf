"""Send one request to the guard beside a backend server, on another VM or this one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import final

import aiohttp
from multidict import CIMultiDict

from _masticspoke.border.forwarding import forwarded
from _masticspoke.border.hop import decode_guard
from _masticspoke.border.hop import encode_fate
from _masticspoke.border.hop import encode_job
from _masticspoke.border.hop import FATE_PATH
from _masticspoke.border.hop import GUARD_HEADER
from _masticspoke.border.hop import GuardAnswer
from _masticspoke.border.hop import JOB_HEADER
from _masticspoke.decisions.fleet.model import BackendServer
from _masticspoke.decisions.fleet.model import GuardLoad
from _masticspoke.decisions.fleet.model import Job
from _masticspoke.decisions.fleet.model import NotRun
from _masticspoke.fleet.guarding import Answer
from _masticspoke.fleet.guarding import Broke
from _masticspoke.fleet.guarding import Declined
from _masticspoke.fleet.guarding import GuardPort
from _masticspoke.fleet.guarding import NO_HEADERS
from _masticspoke.fleet.guarding import run_job
from _masticspoke.fleet.guarding import RunResult
from _masticspoke.fleet.guarding import Sent
from _masticspoke.fleet.guarding import WHOLE_ANSWER_BYTES
from _masticspoke.fleet.messages import SendEnded
from _masticspoke.fleet.placer import PlacerMessage
from _masticspoke.http_pool import ExpiredError
from _masticspoke.http_pool import HttpPool
from _masticspoke.http_pool import NotConnectedError
from _masticspoke.http_pool import Upstream
from _masticspoke.http_server import Request
from _masticspoke.http_server import Streamed
from _masticspoke.model import Address
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.supervisor import Clock

# Reasons that say nothing about whether the server fails.
_NEUTRAL = frozenset({NotRun.BUSY, NotRun.PRESSURE, NotRun.TOO_LATE})
_RETRY_S = 0.2
# The guard's own word at the deadline tells more than a timeout here, seconds.
_GUARD_GRACE_S = 0.02
# A first question may meet the same broken connections as the request did.
_FATE_TRIES = 2


@final
@dataclass(frozen=True, slots=True)
class SendPort:
    """What a request's task needs to reach guards.

    :param own: address of the own backend server.
    :param guard_port: TCP port of every node for requests of other nodes.
    :param boot_clock: also counts the time that a VM is suspended.
    """

    placer: Mailbox[PlacerMessage]
    nodes: HttpPool
    guard: GuardPort
    own: Address
    guard_port: int
    boot_clock: Clock


@final
@dataclass(slots=True)
class Outlet:
    """Where a long answer goes while it arrives.

    :param begun: set as soon as its head may have been sent.
    """

    request: Request
    begun: bool = False

    async def pass_on(self, upstream: Upstream, headers: CIMultiDict[str]) -> Streamed:
        """Pass an answer on; break the connection if it does not come whole."""
        self.begun = True
        length = upstream.content_length or 0
        return await self.request.stream(
            upstream.status, headers, length, upstream.content
        )


@final
@dataclass(slots=True)
class _Send:
    """One send to one guard, and how it ended.

    :param sent_at: time on the clock that also counts a suspension of the VM.
    """

    port: SendPort
    job: Job
    server: BackendServer
    sent: Sent
    outlet: Outlet
    sent_at: float
    result: RunResult | None = None
    load: GuardLoad | None = None

    @property
    def left_s(self) -> float:
        """Time for the guard's answer."""
        return self.job.deadline - self.port.guard.clock() + _GUARD_GRACE_S


async def send(
    port: SendPort, job: Job, server: BackendServer, sent: Sent, outlet: Outlet
) -> RunResult:
    """Return how a send to ``server`` ended; the placer hears of it as well."""
    one = _Send(port, job, server, sent, outlet, port.boot_clock())
    try:
        if server.address == port.own:
            one.result = await run_job(port.guard, job, sent, outlet.pass_on)
            one.load = port.guard.load
        else:
            await _send_to_node(one)
        assert one.result is not None
        return one.result
    finally:
        port.placer.tell(_ended(one))


async def _send_to_node(one: _Send) -> None:
    try:
        await _exchange(one)
    except ExpiredError:
        one.result = Broke("deadline", expired=True)
    except NotConnectedError:
        one.result = Declined(NotRun.UNREACHABLE, _RETRY_S)
    except (aiohttp.ClientError, ConnectionError) as error:
        one.result = Broke(f"node: {error!r}")
        if not one.job.repeatable and not one.outlet.begun:
            await _settle(one)


async def _settle(one: _Send) -> None:
    """Ask the guard what became of a request whose answer was lost."""
    port = one.port
    node = _node(one)
    for _ in range(_FATE_TRIES):
        question = encode_fate(one.job.request_id, port.boot_clock() - one.sent_at)
        headers = {"Host": str(node)}
        try:
            async with port.nodes.request(
                node, "POST", FATE_PATH, headers, question, one.left_s
            ) as upstream:
                guard = decode_guard(upstream.headers.get(GUARD_HEADER))
                if guard is not None:
                    one.load = guard.load
                    one.result = await _result(guard, upstream, one.outlet)
                return
        except ExpiredError:
            one.result = Broke("deadline", expired=True)
            return
        except (aiohttp.ClientError, ConnectionError):
            continue  # the result stays: it may have run


async def _exchange(one: _Send) -> None:
    headers = one.sent.headers.copy()
    headers[JOB_HEADER] = encode_job(one.job, one.port.guard.clock())
    async with one.port.nodes.request(
        _node(one), one.sent.method, one.sent.target, headers, one.sent.body, one.left_s
    ) as upstream:
        guard = decode_guard(upstream.headers.get(GUARD_HEADER))
        if guard is None:
            one.result = Broke("the node did not answer as a guard")
            return
        one.load = guard.load
        one.result = await _result(guard, upstream, one.outlet)


def _node(one: _Send) -> Address:
    return Address(one.server.address.host, one.port.guard_port)


async def _result(guard: GuardAnswer, upstream: Upstream, outlet: Outlet) -> RunResult:
    if guard.not_run is not None:
        await upstream.content.read()
        return Declined(guard.not_run, guard.retry_s, guard.arrived)
    if guard.broke:
        detail = (await upstream.content.read()).decode(errors="replace")
        return Broke(detail, expired=detail == "deadline")
    headers = forwarded(upstream.headers, NO_HEADERS)
    if (upstream.content_length or 0) > WHOLE_ANSWER_BYTES:
        return await outlet.pass_on(upstream, headers)
    body = await upstream.content.read()
    return Answer(upstream.status, headers, body, guard.nested_call_failed)


def _ended(one: _Send) -> SendEnded:
    result = one.result
    return SendEnded(
        address=one.server.address,
        failed=_failed(result),
        load=one.load,
        unusable=result.reason if isinstance(result, Declined) else None,
        service=one.job.service,
        nested=one.job.nested,
    )


def _failed(result: RunResult | None) -> bool | None:
    if isinstance(result, Answer):
        return None if result.nested_call_failed else result.status >= 500
    if isinstance(result, Declined):
        return None if result.reason in _NEUTRAL else True
    return True if isinstance(result, Broke) else None
