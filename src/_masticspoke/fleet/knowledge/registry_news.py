"""The registry's answers to other tasks and nodes: snapshots, and what has changed."""

from __future__ import annotations

from _masticspoke.decisions.fleet import members
from _masticspoke.fleet.knowledge.messages import AskRegistrySnapshot
from _masticspoke.fleet.knowledge.messages import RegistrySnapshot
from _masticspoke.fleet.knowledge.registry_freshness import confirmed_age_s
from _masticspoke.fleet.knowledge.registry_state import RegistryTask
from _masticspoke.fleet.knowledge.registry_state import version_in_force
from _masticspoke.fleet.knowledge.relay_messages import AskNews
from _masticspoke.fleet.knowledge.relay_messages import News

# For this long, a change is sent with each exchange that this node starts with a peer.
_RECENT_CHANGE_S = 5.0


def ask_news(state: RegistryTask, message: AskNews, now: float) -> None:
    """Answer a node that follows this one, now or with the next configuration."""
    version = version_in_force(state)
    if message.hold and message.version >= version:
        held = state.registry.held
        held[:] = [question for question in held if not question.reply.abandoned]
        held.append(message)
        return
    message.reply.answer(_news(state, message, now))


def answer_held(state: RegistryTask, now: float) -> None:
    """Answer the nodes that wait for a newer configuration."""
    held, state.registry.held = state.registry.held, []
    for question in held:
        question.reply.answer(_news(state, question, now))


def _news(state: RegistryTask, question: AskNews, now: float) -> News:
    registry_state = state.registry
    known = question.change if question.relay == registry_state.identity else 0
    answered_at = registry_state.answered_at.get(question.source)
    if question.source in registry_state.faults:
        answered_at = None
    return News(
        relay=registry_state.identity,
        change=registry_state.change,
        raw=registry_state.raw if version_in_force(state) > question.version else b"",
        servers=tuple(
            registry_state.members.by_address[address]
            for address, number in registry_state.changes.items()
            if number > known
        ),
        crash_reports=tuple(
            registry_state.suspects.reports[address]
            for address, number in registry_state.report_changes.items()
            if number > known and address in registry_state.suspects.reports
        ),
        log_age_s=None if answered_at is None else now - answered_at,
        version=version_in_force(state),
        confirmed_age_s=confirmed_age_s(state, now),
    )


def ask_registry_snapshot(
    state: RegistryTask, message: AskRegistrySnapshot, now: float
) -> None:
    """Answer with the configuration and the states of all backend servers."""
    registry_state = state.registry
    recent = tuple(
        registry_state.members.by_address[address]
        for address, changed_at in registry_state.changed_at.items()
        if now - changed_at < _RECENT_CHANGE_S
    )
    recent_reports = tuple(
        registry_state.suspects.reports[address]
        for address, changed_at in registry_state.report_changed_at.items()
        if now - changed_at < _RECENT_CHANGE_S
        and address in registry_state.suspects.reports
    )
    message.reply.answer(
        RegistrySnapshot(
            version=version_in_force(state),
            raw=registry_state.raw,
            digest=members.digest(registry_state.members),
            servers=tuple(registry_state.members.by_address.values()),
            recent=recent,
            log_available=not registry_state.faults,
            crash_reports=tuple(registry_state.suspects.reports.values()),
            recent_crash_reports=recent_reports,
        )
    )
