from __future__ import annotations

from testing.decisions.fleet.samples import job

from _masticspoke.decisions.fleet import queueing
from _masticspoke.decisions.fleet.learned_limit import LearningMode
from _masticspoke.decisions.fleet.model import BackendNotice
from _masticspoke.decisions.fleet.queueing import Queue
from _masticspoke.fleet.guard.limit_learning import concerns_gate
from _masticspoke.fleet.guard.limit_learning import LimitLearning
from _masticspoke.fleet.guard.limit_learning import record_end
from _masticspoke.fleet.guard.limit_learning import record_start
from _masticspoke.fleet.guard.limit_learning import reset
from _masticspoke.fleet.guard.limit_learning import update_limit
from _masticspoke.fleet.guard.messages import GuardState
from _masticspoke.fleet.reporting.counts import TrailMessage
from _masticspoke.supervise.mailbox import Mailbox


def test_gate_is_told_of_a_slowdown_only_when_it_changed_by_a_tenth() -> None:
    """Each answer names it, and a message for each would cost processor time."""
    state = GuardState(slowdown=2.0)

    assert not concerns_gate(state, BackendNotice())
    assert not concerns_gate(state, BackendNotice(slowdown=2.1))
    assert concerns_gate(state, BackendNotice(slowdown=2.3))
    assert concerns_gate(state, BackendNotice(slowdown=1.0))
    assert concerns_gate(GuardState(), BackendNotice(slowdown=1.0))


def test_restarted_server_is_learned_anew() -> None:
    learning, queue = LimitLearning(LearningMode.ON), Queue(slots=100)
    update_limit(learning, queue, 0.5)
    assert learning.limit is not None
    learning.limit.value = 20.0
    update_limit(learning, queue, 0.6)
    assert queue.limit == 20
    reset(learning, queue)
    assert queue.limit == 95
    update_limit(learning, queue, 0.7)
    assert queue.limit == 28


def test_learned_limit_never_exceeds_the_announced_slots() -> None:
    learning, queue = LimitLearning(LearningMode.ON), Queue(slots=100)
    update_limit(learning, queue, 0.5)
    assert learning.limit is not None
    learning.limit.value = 95.0
    update_limit(learning, queue, 0.5)
    assert queue.limit == 95
    queue.slots = 10

    assert queue.limit == 9
    update_limit(learning, queue, 0.6)
    assert queue.limit == 9


def test_run_that_never_ran_leaves_nothing_behind() -> None:
    trail: Mailbox[TrailMessage] = Mailbox(10)
    learning = LimitLearning(LearningMode.ON)
    queue = Queue(slots=10, refusal_reason=None)
    update_limit(learning, queue, 0.5)
    for ticket in range(100):
        queueing.admit(queue, ticket, job(ticket, deadline=9.0), 0.5)
        record_start(learning, queue, ticket, 0.5)
        record_end(learning, queue, ticket, False, trail, 0.5)
        queueing.finish(queue, ticket, ran=False, now=0.5)

    assert learning.limit is not None
    assert learning.limit.begun == {}
    assert learning.limit.usual == {}


def test_learning_ends_when_the_configuration_no_longer_calls_for_it() -> None:
    learning, queue = LimitLearning(LearningMode.ON), Queue(slots=100)
    update_limit(learning, queue, 0.5)
    learning.mode = LearningMode.AUTO
    update_limit(learning, queue, 0.6)

    assert learning.limit is None
    assert queue.learned_limit is None
