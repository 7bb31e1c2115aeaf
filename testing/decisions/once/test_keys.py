from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from testing.matching import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from _masticspoke.decisions.once.decide import decide
from _masticspoke.decisions.once.model import Answered
from _masticspoke.decisions.once.model import Append
from _masticspoke.decisions.once.model import Claim
from _masticspoke.decisions.once.model import Confirmation
from _masticspoke.decisions.once.model import ConfirmRequest
from _masticspoke.decisions.once.model import Identity
from _masticspoke.decisions.once.model import KeptClaims
from _masticspoke.decisions.once.model import OnceEffect
from _masticspoke.decisions.once.model import OnceEvent
from _masticspoke.decisions.once.model import OnceLimits
from _masticspoke.decisions.once.model import OnceRecord
from _masticspoke.decisions.once.model import RecordsRead
from _masticspoke.decisions.once.model import Redirect
from _masticspoke.decisions.once.model import RequestArrived
from _masticspoke.decisions.once.model import RequestWithdrawn
from _masticspoke.decisions.once.model import Run
from _masticspoke.decisions.once.model import RunEnded
from _masticspoke.decisions.once.model import Seal
from _masticspoke.decisions.once.model import SendConfirmation
from _masticspoke.decisions.once.model import SendConfirmRequest
from _masticspoke.decisions.once.model import SendReply
from _masticspoke.decisions.once.model import StoredAnswer
from _masticspoke.decisions.once.model import Tick
from _masticspoke.decisions.once.placement import home_of
from _masticspoke.decisions.once.placement import key_digest
from _masticspoke.decisions.once.state import OnceState
from _masticspoke.decisions.once.state import OUTCOME_UNKNOWN
from _masticspoke.model import Address
from _masticspoke.model import Member
from _masticspoke.model import Ran
from _masticspoke.model import View
from _masticspoke.refusals import Reason
from _masticspoke.refusals import Refusal

SERVICE = "rezervacie"
LIMITS = OnceLimits(answers_bytes=800, max_keys=3, key_lifetime_s=100.0)
NOT_RUN = Refusal(Reason.QUEUE_FULL, Ran.NO)


def identity(port: int) -> Identity:
    return Identity(Address("127.0.0.1", port), f"p{port}")


def view(number: int, *ports: int) -> View:
    members = tuple(
        Member(SERVICE, i.node, i.node, "sk-central-a", i.process, 1, 1)
        for i in map(identity, ports)
    )
    return View(SERVICE, number, number, members)


def digest_at(port: int, *views: View) -> str:
    """Return a digest whose home is the node at ``port`` in all views."""
    digests = (key_digest(SERVICE, f"k{n}") for n in range(10_000))
    home = identity(port)
    return next(d for d in digests if all(home_of(v, d) == home for v in views))


@dataclass
class Node:
    """A node under test, with its own clock."""

    state: OnceState
    now: float = 0.0
    last_ticket: int = 0
    last_effects: list[OnceEffect] = field(default_factory=list)

    def handle(self, event: OnceEvent) -> list[OnceEffect]:
        self.last_effects = decide(self.state, event, self.now)
        return self.last_effects

    def ask(self, digest: str, fingerprint: int = 1) -> list[OnceEffect]:
        self.last_ticket += 1
        return self.handle(
            RequestArrived(self.last_ticket, SERVICE, digest, fingerprint)
        )

    def read(self, *items: View | OnceRecord) -> list[OnceEffect]:
        return self.handle(RecordsRead(items))

    def tick(self, seconds: float) -> list[OnceEffect]:
        self.now += seconds
        return self.handle(Tick())

    def run(self, digest: str) -> None:
        self.ask(digest)
        effects = self.read(Claim(SERVICE, digest, self.state.me, 1))
        assert_that(effects, Equals([Run(digest, self.last_ticket)]))


def started_node(port: int, *views: View) -> Node:
    node = Node(OnceState(identity(port), LIMITS))
    node.read(*views)
    return node


def answer(size: int = 10) -> StoredAnswer:
    return StoredAnswer(201, (), b"x" * size)


def of_type(kind: type, effects: Sequence[OnceEffect]) -> list[OnceEffect]:
    return [e for e in effects if isinstance(e, kind)]


V1 = view(1, 1, 2, 3)
KEY = digest_at(1, V1)


def test_a_key_runs_after_its_claim_is_read_back() -> None:
    node = started_node(1, V1)

    assert_that(node.ask(KEY), Equals([Append(Claim(SERVICE, KEY, node.state.me, 1))]))
    assert_that(node.read(Claim(SERVICE, KEY, node.state.me, 1)), Equals([Run(KEY, 1)]))


def test_a_repeated_claim_does_not_run_the_key_again() -> None:
    node = started_node(1, V1)
    node.run(KEY)

    assert_that(node.read(Claim(SERVICE, KEY, node.state.me, 1)), HasLength(0))


def test_resends_wait_for_the_run_and_later_ones_get_the_stored_answer() -> None:
    node = started_node(1, V1)
    node.run(KEY)
    node.ask(KEY)

    effects = node.handle(RunEnded(KEY, Answered(answer())))

    assert_that(effects, Equals([SendReply(1, answer()), SendReply(2, answer())]))
    assert_that(node.ask(KEY), Equals([SendReply(3, answer())]))


def test_a_key_refused_as_not_run_runs_for_the_next_request() -> None:
    node = started_node(1, V1)
    node.run(KEY)

    assert_that(node.handle(RunEnded(KEY, NOT_RUN)), Equals([SendReply(1, NOT_RUN)]))
    assert_that(node.ask(KEY), Equals([Run(KEY, 2)]))


def test_a_lost_outcome_stays_unknown() -> None:
    node = started_node(1, V1)
    node.run(KEY)
    node.handle(RunEnded(KEY, Refusal(Reason.NODE_FAILED, Ran.UNKNOWN)))

    assert_that(node.ask(KEY), Equals([SendReply(2, OUTCOME_UNKNOWN)]))


def test_a_key_reused_for_another_request_is_refused_as_not_run() -> None:
    node = started_node(1, V1)
    node.run(KEY)

    assert_that(
        node.ask(KEY, fingerprint=2),
        Equals([SendReply(2, Refusal(Reason.KEY_REUSED, Ran.NO))]),
    )


def test_an_answer_too_large_to_store_is_unknown_for_later_requests() -> None:
    node = started_node(1, V1)
    node.run(KEY)

    large = answer(LIMITS.answers_bytes // 8 + 1)
    assert_that(
        node.handle(RunEnded(KEY, Answered(large))), Equals([SendReply(1, large)])
    )
    assert_that(node.ask(KEY), Equals([SendReply(2, OUTCOME_UNKNOWN)]))


def test_an_evicted_answer_is_unknown_and_never_run_again() -> None:
    node = started_node(1, V1)
    node.run(KEY)
    node.handle(RunEnded(KEY, Answered(answer())))
    node.state.limits = OnceLimits(answer_ttl_s=5.0)

    node.tick(6.0)

    assert_that(node.ask(KEY), Equals([SendReply(2, OUTCOME_UNKNOWN)]))


def test_a_full_table_refuses_new_keys_with_unknown_outcome() -> None:
    node = started_node(1, V1)
    digests = (key_digest(SERVICE, f"k{n}") for n in range(1_000))
    own_digests = [d for d in digests if home_of(V1, d) == identity(1)]
    for digest in own_digests[:3]:
        node.ask(digest)

    full = Refusal(Reason.BUSY, Ran.UNKNOWN)
    assert_that(node.ask(own_digests[3]), Equals([SendReply(4, full)]))


def test_a_key_is_forgotten_after_its_lifetime_only() -> None:
    node = started_node(1, V1)
    node.run(KEY)
    node.handle(RunEnded(KEY, Answered(answer())))

    node.tick(99.0)
    assert KEY in node.state.keys
    node.tick(100.0)
    assert KEY not in node.state.keys


def test_a_request_is_redirected_to_the_home_of_its_key() -> None:
    node = started_node(2, V1)

    assert_that(node.ask(KEY), Equals([SendReply(1, Redirect(identity(1).node))]))


def test_without_the_log_a_majority_of_the_view_grants_the_run() -> None:
    node = started_node(1, V1)
    node.ask(KEY)
    claim = Claim(SERVICE, KEY, identity(1), 1)

    sent = of_type(SendConfirmRequest, node.tick(1.0))

    request = ConfirmRequest(claim)
    expected = [SendConfirmRequest(identity(p), request) for p in (2, 3)]
    assert_that(sent, Equals(expected))
    effects = node.handle(Confirmation(claim, identity(2)))
    assert_that(effects, Equals([Run(KEY, 1)]))


def test_a_key_granted_while_no_request_waits_runs_for_the_next_one() -> None:
    node = started_node(1, V1)
    node.ask(KEY)
    node.handle(RequestWithdrawn(1, KEY))

    assert_that(node.read(Claim(SERVICE, KEY, identity(1), 1)), HasLength(0))
    assert_that(node.ask(KEY), Equals([Run(KEY, 2)]))


def test_a_member_that_has_read_a_newer_view_does_not_confirm() -> None:
    claim = Claim(SERVICE, KEY, identity(1), 1)
    member = started_node(2, V1)
    confirmed = member.handle(ConfirmRequest(claim))
    assert_that(of_type(SendConfirmation, confirmed), HasLength(1))

    effects = member.read(view(2, 2, 3))

    kept = Append(KeptClaims(SERVICE, (claim,)))
    sealed = Append(Seal(SERVICE, 1, identity(2)))
    assert_that(effects, Equals([kept, sealed]))
    assert_that(member.handle(ConfirmRequest(claim)), HasLength(0))


def test_a_new_home_waits_for_seals_and_respects_kept_claims() -> None:
    newer_view = view(2, 2, 3)
    digests = (key_digest(SERVICE, f"k{n}") for n in range(1_000))
    key, new_key = [
        d
        for d in digests
        if home_of(V1, d) == identity(1) and home_of(newer_view, d) == identity(2)
    ][:2]
    home = started_node(2, V1, newer_view)

    assert_that(home.ask(key), HasLength(0))
    kept = KeptClaims(SERVICE, (Claim(SERVICE, key, identity(1), 1),))
    effects = home.read(kept, Seal(SERVICE, 1, identity(3)))

    assert_that(effects, Equals([SendReply(1, OUTCOME_UNKNOWN)]))
    assert_that(
        of_type(Append, home.ask(new_key)),
        Equals([Append(Claim(SERVICE, new_key, identity(2), 2))]),
    )


def test_a_key_that_two_homes_claimed_is_run_by_neither() -> None:
    node = started_node(1, V1)
    node.ask(KEY)
    node.read(KeptClaims(SERVICE, (Claim(SERVICE, KEY, identity(1), 1),)))
    assert_that(node.state.keys, HasLength(1))

    effects = node.read(KeptClaims(SERVICE, (Claim(SERVICE, KEY, identity(2), 1),)))

    assert_that(effects, Equals([SendReply(1, OUTCOME_UNKNOWN)]))


def test_a_member_keeps_a_claim_that_conflicts_with_the_log() -> None:
    claim = Claim(SERVICE, KEY, identity(1), 1)
    member = started_node(2, V1)
    member.handle(ConfirmRequest(claim))

    member.read(KeptClaims(SERVICE, (Claim(SERVICE, KEY, identity(3), 1),)))
    assert_that(member.handle(ConfirmRequest(claim)), HasLength(0))
    effects = member.read(view(2, 2, 3))

    assert_that(effects[0], Equals(Append(KeptClaims(SERVICE, (claim,)))))


def test_claims_kept_in_an_outage_are_appended_after_it() -> None:
    node = started_node(1, V1)
    node.ask(KEY)
    node.tick(1.0)
    claim = Claim(SERVICE, KEY, identity(1), 1)
    node.handle(Confirmation(claim, identity(2)))
    assert_that(of_type(Append, node.tick(600.0)), HasLength(0))

    node.read()

    appended = Append(KeptClaims(SERVICE, (claim,)))
    assert_that(of_type(Append, node.tick(0.0)), Equals([appended]))
    node.read(appended.record)
    assert_that(of_type(Append, node.tick(10.0)), HasLength(0))


def test_confirmation_is_still_requested_ten_minutes_into_an_outage() -> None:
    node = started_node(1, V1)
    node.tick(600.0)
    node.ask(KEY)

    sent = of_type(SendConfirmRequest, node.tick(1.0))

    assert_that(sent, HasLength(2))


def test_a_key_claimed_while_views_are_missing_counts_as_maybe_run() -> None:
    node = Node(OnceState(identity(1), LIMITS))
    claim = Claim(SERVICE, KEY, identity(9), 1)

    node.handle(RecordsRead((claim,), views_complete=False))
    node.read(V1)

    assert_that(node.ask(KEY), Equals([SendReply(1, OUTCOME_UNKNOWN)]))
