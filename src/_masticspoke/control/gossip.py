"""Gossip: exchanges digests with other nodes, and watches a few members."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from _masticspoke.border.gossip import PAGE_HINTS
from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.control.peer_client import confirm_unreachable
from _masticspoke.control.peer_client import exchange_digests
from _masticspoke.control.peer_client import fetch_catalogue
from _masticspoke.control.peer_client import fetch_members
from _masticspoke.control.peer_client import PeerClient
from _masticspoke.control.peer_client import PeerFault
from _masticspoke.decisions import liveness
from _masticspoke.messages.control import AskDigest
from _masticspoke.messages.control import Digest
from _masticspoke.messages.control import MembersChanged
from _masticspoke.messages.control import MemberSilent
from _masticspoke.messages.control import PeerAhead
from _masticspoke.messages.control import PeersAsked
from _masticspoke.messages.control import PeerUpdate
from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.supervise.ask import ask
from _masticspoke.supervise.lifecycle import ChildBody
from _masticspoke.supervise.lifecycle import Lifecycle
from _masticspoke.supervise.mailbox import Mailbox
from _masticspoke.supervise.mailbox import Reply
from _masticspoke.supervise.supervisor import Clock

GossipMessage = MembersChanged | PeerAhead
PARTNERS_PER_ROUND = 1
PARTNERS_BEFORE_FIRST_ANSWER = 16
EARLY_ROUND_DELAY_S = 0.1
MIN_EARLY_ROUND_INTERVAL_S = 2.0
MIN_PAGE_INTERVAL_S = 2.0


@final
@dataclass(slots=True)
class _GossipState:
    """State of the gossip task.

    :param failures: rounds in a row that a watched node did not answer.
    :param nodes_ahead: nodes with a newer catalogue, for the next round.
    :param page_cursor: last node of the page of hints that was fetched last; ``None``
        to fetch the first page next.
    """

    client: PeerClient
    keeper: Mailbox[KeeperMessage]
    own_address: Address
    seeds: tuple[Address, ...]
    random: Random
    members: tuple[Member, ...] = ()
    failures: dict[Address, int] = field(default_factory=dict)
    nodes_ahead: set[Address] = field(default_factory=set)
    peer_answered: bool = False
    page_cursor: Address | None = None
    next_page_at: float = 0.0
    next_early_round_at: float = 0.0


def gossip(
    inbox: Mailbox[GossipMessage],
    keeper: Mailbox[KeeperMessage],
    client: PeerClient,
    own_address: Address,
    seeds: tuple[Address, ...],
    interval_s: float,
    clock: Clock,
) -> ChildBody:
    """Return the body of the gossip task.

    :param interval_s: mean time between two rounds. A change of the members, or a
        node with a newer catalogue, starts a round early: after
        :data:`EARLY_ROUND_DELAY_S`, or, if another one has done so in the last
        :data:`MIN_EARLY_ROUND_INTERVAL_S`, at the end of that interval.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        state = _GossipState(client, keeper, own_address, seeds, Random())
        while True:
            await _run_round(state, clock())
            next_round_at = clock() + interval_s * state.random.uniform(0.9, 1.1)
            while (left_s := next_round_at - clock()) > 0:
                for message in await inbox.receive(left_s):
                    _apply_message(state, message)
                    next_round_at = min(next_round_at, _early_round_at(state, clock()))

    return run


def _early_round_at(state: _GossipState, now: float) -> float:
    """Return when a round that a message triggers may start."""
    if now < state.next_early_round_at:
        return state.next_early_round_at
    state.next_early_round_at = now + MIN_EARLY_ROUND_INTERVAL_S
    return now + EARLY_ROUND_DELAY_S


def _apply_message(state: _GossipState, message: GossipMessage) -> None:
    if isinstance(message, PeerAhead):
        state.nodes_ahead.add(message.node)
        return
    state.members = message.members


async def _run_round(state: _GossipState, now: float) -> None:
    reply: Reply[Digest] = Reply()
    digest = await ask(state.keeper, AskDigest(reply), reply)
    if digest is None:
        return
    count = PARTNERS_PER_ROUND if state.peer_answered else PARTNERS_BEFORE_FIRST_ANSWER
    watched_nodes = liveness.watched_nodes(state.members, state.own_address)
    chosen = liveness.choose_partners(
        state.members, state.seeds, state.own_address, count, state.random
    )
    targets = tuple({*watched_nodes, *chosen, *state.nodes_ahead})
    state.nodes_ahead.clear()
    answers = dict(
        zip(
            targets,
            await asyncio.gather(
                *(exchange_digests(state.client, node, digest) for node in targets)
            ),
            strict=True,
        )
    )
    digests = [a for a in answers.values() if isinstance(a, Digest)]
    await _apply_digests(state, digest, digests, now)
    answered = {node: answers[node] is not PeerFault.SILENT for node in watched_nodes}
    await _report_suspects(state, answered)


async def _apply_digests(
    state: _GossipState, own_digest: Digest, digests: Sequence[Digest], now: float
) -> None:
    if not digests:
        return
    hints = tuple(hint for digest in digests for hint in digest.updates)
    state.keeper.tell(PeerUpdate(hints))
    await _fetch_catalogue(state, own_digest, digests)
    await _fetch_members(state, own_digest, digests, now)
    if not state.peer_answered:
        state.peer_answered = True
        state.keeper.tell(PeersAsked())


async def _fetch_catalogue(
    state: _GossipState, own_digest: Digest, digests: Sequence[Digest]
) -> None:
    newest = max(digests, key=lambda d: d.catalogue_version)
    if newest.catalogue_version <= own_digest.catalogue_version:
        return
    catalogue = await fetch_catalogue(state.client, newest.sender)
    if not isinstance(catalogue, PeerFault):
        state.keeper.tell(PeerUpdate(catalogue=catalogue))


async def _fetch_members(
    state: _GossipState, own_digest: Digest, digests: Sequence[Digest], now: float
) -> None:
    differing = [d for d in digests if d.checksum != own_digest.checksum]
    if not differing or now < state.next_page_at:
        return
    state.next_page_at = now + MIN_PAGE_INTERVAL_S
    sender = state.random.choice(differing).sender
    page = await fetch_members(state.client, sender, state.page_cursor)
    if isinstance(page, PeerFault):
        return
    state.page_cursor = page[-1].node if len(page) == PAGE_HINTS else None
    state.keeper.tell(PeerUpdate(page))


async def _report_suspects(state: _GossipState, answered: dict[Address, bool]) -> None:
    state.failures, suspects = liveness.record_round(state.failures, answered)
    incarnations = {m.node: m.incarnation for m in state.members}
    for node in suspects:
        prober = liveness.choose_prober(
            state.members, state.failures, state.own_address, state.random
        )
        if prober is None or node not in incarnations:
            continue
        if await confirm_unreachable(state.client, prober, node):
            state.keeper.tell(MemberSilent(node, incarnations[node]))
