"""Gossip: tells other nodes what changed, and watches a few of them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from _masticspoke.border.gossip import PAGE_HINTS
from _masticspoke.control.keeper import KeeperMessage
from _masticspoke.control.peer_client import ask_probe
from _masticspoke.control.peer_client import fetch_catalogue
from _masticspoke.control.peer_client import fetch_members
from _masticspoke.control.peer_client import PeerClient
from _masticspoke.control.peer_client import PeerFault
from _masticspoke.control.peer_client import tell_digest
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
PARTNERS = 1
FIRST_PARTNERS = 16
EARLY_ROUND_DELAY_S = 0.1
EARLY_ROUNDS_APART_S = 2.0
PAGES_APART_S = 2.0


@final
@dataclass(slots=True)
class _GossipState:
    client: PeerClient
    keeper: Mailbox[KeeperMessage]
    own: Address
    seeds: tuple[Address, ...]
    random: Random
    members: tuple[Member, ...] = ()
    failures: dict[Address, int] = field(default_factory=dict)
    ahead: set[Address] = field(default_factory=set)
    met_anyone: bool = False
    page_after: Address | None = None
    next_page: float = 0.0
    next_early: float = 0.0


def gossip(
    inbox: Mailbox[GossipMessage],
    keeper: Mailbox[KeeperMessage],
    client: PeerClient,
    own: Address,
    seeds: tuple[Address, ...],
    interval_s: float,
    clock: Clock,
) -> ChildBody:
    """Return the body of the gossip task.

    :param interval_s: time between two rounds; a change of the members or a node
        that is ahead starts one early, at most every :data:`EARLY_ROUNDS_APART_S`.
    """

    async def run(life: Lifecycle) -> None:
        life.mark_started()
        state = _GossipState(client, keeper, own, seeds, Random())
        while True:
            await _round(state, clock())
            following = clock() + interval_s * state.random.uniform(0.9, 1.1)
            while (left_s := following - clock()) > 0:
                for message in await inbox.receive(left_s):
                    _note(state, message)
                    following = min(following, _early(state, clock()))

    return run


def _early(state: _GossipState, now: float) -> float:
    """Return when a round may start because something changed."""
    if now < state.next_early:
        return state.next_early
    state.next_early = now + EARLY_ROUNDS_APART_S
    return now + EARLY_ROUND_DELAY_S


def _note(state: _GossipState, message: GossipMessage) -> None:
    if isinstance(message, PeerAhead):
        state.ahead.add(message.node)
        return
    state.members = message.members


async def _round(state: _GossipState, now: float) -> None:
    reply: Reply[Digest] = Reply()
    digest = await ask(state.keeper, AskDigest(reply), reply)
    if digest is None:
        return
    count = PARTNERS if state.met_anyone else FIRST_PARTNERS
    watched_nodes = liveness.watched_nodes(state.members, state.own)
    chosen = liveness.choose_partners(
        state.members, state.seeds, state.own, count, state.random
    )
    targets = tuple({*watched_nodes, *chosen, *state.ahead})
    state.ahead.clear()
    answers = dict(
        zip(
            targets,
            await asyncio.gather(
                *(tell_digest(state.client, node, digest) for node in targets)
            ),
            strict=True,
        )
    )
    digests = [a for a in answers.values() if isinstance(a, Digest)]
    await _learn(state, digest, digests, now)
    silent = {node: answers[node] is not PeerFault.SILENT for node in watched_nodes}
    await _suspect(state, silent)


async def _learn(
    state: _GossipState, own: Digest, digests: Sequence[Digest], now: float
) -> None:
    if not digests:
        return
    hints = tuple(hint for digest in digests for hint in digest.updates)
    state.keeper.tell(PeerUpdate(hints))
    await _fetch_catalogue(state, own, digests)
    await _fetch_members(state, own, digests, now)
    if not state.met_anyone:
        state.met_anyone = True
        state.keeper.tell(PeersAsked())


async def _fetch_catalogue(
    state: _GossipState, own: Digest, digests: Sequence[Digest]
) -> None:
    highest = max(digests, key=lambda d: d.catalogue_version)
    if highest.catalogue_version <= own.catalogue_version:
        return
    catalogue = await fetch_catalogue(state.client, highest.sender)
    if not isinstance(catalogue, PeerFault):
        state.keeper.tell(PeerUpdate(catalogue=catalogue))


async def _fetch_members(
    state: _GossipState, own: Digest, digests: Sequence[Digest], now: float
) -> None:
    other = [d for d in digests if d.checksum != own.checksum]
    if not other or now < state.next_page:
        return
    state.next_page = now + PAGES_APART_S
    sender = state.random.choice(other).sender
    page = await fetch_members(state.client, sender, state.page_after)
    if isinstance(page, PeerFault):
        return
    state.page_after = page[-1].node if len(page) == PAGE_HINTS else None
    state.keeper.tell(PeerUpdate(page))


async def _suspect(state: _GossipState, answered: dict[Address, bool]) -> None:
    state.failures, suspects = liveness.record_round(state.failures, answered)
    incarnations = {m.node: m.incarnation for m in state.members}
    for node in suspects:
        confirmer = liveness.choose_confirmer(
            state.members, state.failures, state.own, state.random
        )
        if confirmer is None or node not in incarnations:
            continue
        if await ask_probe(state.client, confirmer, node):
            state.keeper.tell(MemberSilent(node, incarnations[node]))
