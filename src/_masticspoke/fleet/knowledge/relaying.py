"""Follow the log through another node of the zone, and let others follow this one."""

from __future__ import annotations

import time
from dataclasses import dataclass
from math import ceil
from random import Random
from typing import final

import aiohttp

from _masticspoke.border.follow import decode_follow_answer
from _masticspoke.border.follow import decode_follow_request
from _masticspoke.border.follow import encode_follow_answer
from _masticspoke.border.follow import encode_follow_request
from _masticspoke.border.follow import FOLLOW_PATH
from _masticspoke.border.follow import FollowAnswer
from _masticspoke.border.follow import FollowRequest
from _masticspoke.border.follow import MAX_FOLLOW_BYTES
from _masticspoke.decisions.fleet import relays
from _masticspoke.decisions.fleet.relays import RelayState
from _masticspoke.decisions.fleet.relays import Waits
from _masticspoke.events import Event
from _masticspoke.fleet.dialect import Dialect
from _masticspoke.fleet.knowledge.crash_messages import CrashReportsReceived
from _masticspoke.fleet.knowledge.era_watch import EraWatch
from _masticspoke.fleet.knowledge.messages import AskRegistrySnapshot
from _masticspoke.fleet.knowledge.messages import ConfigurationReceived
from _masticspoke.fleet.knowledge.messages import RegistrySnapshot
from _masticspoke.fleet.knowledge.messages import ServersReceived
from _masticspoke.fleet.knowledge.registry import RegistryMessage
from _masticspoke.fleet.knowledge.relay_messages import AskNews
from _masticspoke.fleet.knowledge.relay_messages import ChooseRelay
from _masticspoke.fleet.knowledge.relay_messages import News
from _masticspoke.fleet.knowledge.relay_messages import RelayAnswered
from _masticspoke.fleet.knowledge.relay_messages import RelayAsked
from _masticspoke.fleet.knowledge.relay_messages import RelaySilent
from _masticspoke.fleet.knowledge.relay_messages import VersionConfirmed
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.fleet.reporting.event_record import EventRecord
from _masticspoke.http_pool import ExpiredError
from _masticspoke.http_pool import HttpPool
from _masticspoke.http_server import Handler
from _masticspoke.http_server import Request
from _masticspoke.http_server import Response
from _masticspoke.model import Address
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.latest import Latest
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.planned_stop import PlannedStop
from _masticspoke.supervise.server import Handlers
from _masticspoke.supervise.server import serve_at_once
from _masticspoke.supervise.supervisor import Clock
from _masticspoke.supervise.switch import Switch

RelayMessage = RelayAsked | ChooseRelay | RelayAnswered | RelaySilent
# A relay's answer may take this much longer than it may be held, seconds.
_ANSWER_MARGIN_S = 0.4
# Mean pause before a relay is looked for again, and the pause before one that has
# answered is asked again, seconds.
_RETRY_PAUSE_S = 1.0
_NEXT_PAUSE_S = 0.1


@final
@dataclass(frozen=True, slots=True)
class RelayPort:
    """What the tasks and the handler need.

    :param chooser: mailbox of :func:`relay_chooser`.
    :param peer_port: TCP port where each node accepts requests of other nodes.
    :param clock: boot clock.
    """

    chooser: Mailbox[RelayMessage]
    registry: Mailbox[RegistryMessage]
    connections: HttpPool
    dialect: Dialect
    peer_port: int
    stop: PlannedStop
    waits: Waits
    clock: Clock
    eras: EraWatch


@final
@dataclass(frozen=True, slots=True)
class _ChooserState:
    relays: RelayState
    reads_log: Switch
    read_wait_s: Latest[float]
    trail: Mailbox[TrailMessage]


def relay_chooser(
    inbox: Mailbox[RelayMessage],
    relay_state: RelayState,
    reads_log: Switch,
    read_wait_s: Latest[float],
    trail: Mailbox[TrailMessage],
    clock: Clock,
) -> ChildBody:
    """Return the body of the task that decides how this node follows the log.

    :param reads_log: is on while this node reads the log itself.
    :param read_wait_s: how long its reads of the configuration wait, seconds.
    """

    async def run(life: Lifecycle) -> None:
        state = _ChooserState(relay_state, reads_log, read_wait_s, trail)
        await serve_at_once(inbox, state, _HANDLERS, clock, life)

    return run


def _relay_asked(state: _ChooserState, message: RelayAsked, now: float) -> None:
    before = state.relays.relay
    relays.record_asked(state.relays, now)
    _publish(state, before, "asked", now)


def _choose_relay(state: _ChooserState, message: ChooseRelay, now: float) -> None:
    before = state.relays.relay
    host = relays.choose_relay(state.relays, message.servers, now)
    if host != before:
        # The log is read until the other relay has answered.
        state.relays.relay = ""
    _publish(state, before, "chosen" if host else "none", now)
    message.reply.answer(host)


def _relay_answered(state: _ChooserState, message: RelayAnswered, now: float) -> None:
    before = state.relays.relay
    relays.record_answer(state.relays, message.host, message.log_age_s, now)
    _publish(state, before, "answered" if state.relays.relay else "behind", now)


def _relay_silent(state: _ChooserState, message: RelaySilent, now: float) -> None:
    before = state.relays.relay
    relays.record_failure(state.relays, message.host, now)
    _publish(state, before, "silent", now)


def _publish(state: _ChooserState, before: str, reason: str, now: float) -> None:
    state.read_wait_s.tell(relays.read_wait_s(state.relays, now))
    relay = state.relays.relay
    state.reads_log.turn(not relay)
    if relay != before:
        fields = {"relay": relay, "before": before, "reason": reason}
        state.trail.tell(EventRecord(Event.LOG_FOLLOWED, fields))


_HANDLERS: Handlers[_ChooserState] = {
    RelayAsked: _relay_asked,
    ChooseRelay: _choose_relay,
    RelayAnswered: _relay_answered,
    RelaySilent: _relay_silent,
}


def relay_follower(port: RelayPort, random: Random) -> ChildBody:
    """Return the body of the task that asks a relay again and again.

    Until a relay has answered, and after each failure, this node reads the log.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        last = FollowAnswer(0, 0, b"", (), None)
        while not life.is_stopping:
            snapshot = await _ask_snapshot(port)
            host = None if snapshot is None else await _ask_relay(port, snapshot)
            answer = None
            if host is not None and snapshot is not None:
                request = FollowRequest(last.relay, last.change, snapshot.version)
                answer = await _follow(port, host, request)
            if host is not None and answer is None:
                port.chooser.tell(RelaySilent(host))
            retries = answer is None or _is_behind(answer, port.waits)
            pause_s = _RETRY_PAUSE_S * random.uniform(0.5, 1.5)
            await life.stops_within(pause_s if retries else _NEXT_PAUSE_S)
            last = answer or last

    return run


def _is_behind(answer: FollowAnswer, waits: Waits) -> bool:
    age_s = _usable_age_s(answer, waits)
    return age_s is None or age_s > relays.MAX_LOG_AGE_S


def _usable_age_s(answer: FollowAnswer, waits: Waits) -> float | None:
    return relays.usable_age_s(
        _seconds(answer.log_age_ms), _seconds(answer.confirmed_age_ms), waits
    )


def _seconds(time_ms: int | None) -> float | None:
    return None if time_ms is None else time_ms / 1000


def _milliseconds(time_s: float | None) -> int | None:
    """Return a time in milliseconds, rounded up: an age is never understated."""
    return None if time_s is None else ceil(time_s * 1000)


async def _ask_snapshot(port: RelayPort) -> RegistrySnapshot | None:
    reply: Reply[RegistrySnapshot] = Reply()
    return await ask(port.registry, AskRegistrySnapshot(reply), reply)


async def _ask_relay(port: RelayPort, snapshot: RegistrySnapshot) -> str | None:
    reply: Reply[str | None] = Reply()
    return await ask(port.chooser, ChooseRelay(snapshot.servers, reply), reply)


async def _follow(
    port: RelayPort, host: str, request: FollowRequest
) -> FollowAnswer | None:
    """Ask a relay and pass on its news.

    :return: ``None`` if it doesn't answer, or with news that can't be read here.
    """
    address = Address(host, port.peer_port)
    sent_at = port.clock()
    exchange = port.connections.request(
        address,
        "POST",
        FOLLOW_PATH,
        {"Host": str(address)},
        encode_follow_request(request),
        port.waits.max_hold_s + _ANSWER_MARGIN_S,
    )
    try:
        async with exchange as upstream:
            body, ended = await upstream.read_start(MAX_FOLLOW_BYTES)
            answer = decode_follow_answer(body) if ended else None
    except (ExpiredError, aiohttp.ClientError, ConnectionError):
        return None  # the chooser logs that the relay is silent
    if answer is None or not _send_to_registry(port, answer, f"relay {host}"):
        return None
    if answer.confirmed_age_ms is not None:
        confirmed_at = sent_at - answer.confirmed_age_ms / 1000
        port.registry.tell(VersionConfirmed(answer.version, confirmed_at))
    port.chooser.tell(RelayAnswered(host, _usable_age_s(answer, port.waits)))
    return answer


def _send_to_registry(port: RelayPort, answer: FollowAnswer, source: str) -> bool:
    """Return whether the configuration can be read, if there is a newer one."""
    port.eras.told(answer.era)
    if answer.servers:
        port.registry.tell(ServersReceived(answer.servers, source))
    if answer.crash_reports:
        port.registry.tell(CrashReportsReceived(answer.crash_reports, time.time()))
    if not answer.raw:
        return True
    configuration = port.dialect.decode_configuration(answer.raw)
    if configuration is None:
        return False
    port.registry.tell(ConfigurationReceived(configuration, answer.raw, source))
    return True


def follow_handler(port: RelayPort) -> Handler:
    """Return the handler of requests of nodes that follow this one."""
    max_hold_s = port.waits.max_hold_s

    async def handle(request: Request) -> Response:
        asked = decode_follow_request(await request.body(MAX_FOLLOW_BYTES))
        if asked is None:
            return Response(400, body=b"malformed request to follow\n")
        port.chooser.tell(RelayAsked())
        news = await _ask_news(port, asked, hold=False)
        held_s = 0.0
        while news is not None and _may_hold(port, news, held_s):
            hold_s = relays.hold_s(news.log_age_s, max_hold_s - held_s)
            held = await _ask_news(port, asked, hold=True, timeout_s=hold_s)
            news = held or await _ask_news(port, asked, hold=False)
            held_s = max_hold_s if held else held_s + hold_s
        if news is None:
            return Response(503)
        # A relay that is stopping is left as one that doesn't hear the log.
        age_s = None if port.stop.under_way else news.log_age_s
        answer = FollowAnswer(
            news.relay,
            news.change,
            news.raw,
            news.servers,
            _milliseconds(age_s),
            news.crash_reports,
            news.version,
            _milliseconds(news.confirmed_age_s),
            port.eras.newest,
        )
        return Response(200, body=encode_follow_answer(answer))

    return handle


def _may_hold(port: RelayPort, news: News, held_s: float) -> bool:
    """Return whether the answer waits for news, or for the log's next answer."""
    if news.raw or port.stop.under_way or held_s >= port.waits.max_hold_s:
        return False
    age_s = news.log_age_s
    is_behind = age_s is None or age_s > relays.MAX_LOG_AGE_S
    return held_s == 0.0 or not is_behind


async def _ask_news(
    port: RelayPort, asked: FollowRequest, *, hold: bool, timeout_s: float = 1.0
) -> News | None:
    reply: Reply[News] = Reply()
    message = AskNews(
        port.dialect.configuration_stream,
        asked.relay,
        asked.change,
        asked.version,
        hold,
        reply,
    )
    return await ask(port.registry, message, reply, timeout_s)
