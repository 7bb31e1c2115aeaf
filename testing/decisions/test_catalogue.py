from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from _masticspoke.decisions.catalogue import CatalogueState
from _masticspoke.decisions.catalogue import Change
from _masticspoke.decisions.catalogue import newer_state
from _masticspoke.decisions.catalogue import reduce_change
from _masticspoke.decisions.replay import Snapshot
from _masticspoke.decisions.streams import new_catalogue_replay
from _masticspoke.decisions.streams import read_catalogue
from _masticspoke.model import Catalogue
from _masticspoke.model import ClassSpec
from _masticspoke.model import Entry

LINE = ClassSpec("line", 1)
READ = Entry("read", "line", "line", 1, "inspect-desk", "GET", "/r", 1000, True)
CATALOGUE = Catalogue(classes=(LINE,), entries=(READ,))

Log = list[Change | Snapshot[CatalogueState] | None]


def change(number: int, made_from: int) -> Change:
    return Change(f"id-{number}", made_from, CATALOGUE, "operator")


def state_of(log: Log) -> CatalogueState:
    replay, _ = read_catalogue(new_catalogue_replay(), 0, enumerate(log))
    return replay.state


# One step per change: how many versions behind the current one it was made from, and
# how often it was appended, since an operator's tool repeats an append after a lost
# answer.
CONCURRENT_CHANGES = st.lists(
    st.tuples(st.integers(0, 4), st.integers(1, 3)), max_size=25
)


def log_of_changes(steps: list[tuple[int, int]]) -> Log:
    log: Log = []
    for number, (behind, copies) in enumerate(steps):
        base_version = max(0, state_of(log).catalogue.version - behind)
        log += [change(number, base_version)] * copies
    return log


@settings(max_examples=300)
@given(CONCURRENT_CHANGES)
def test_each_version_has_exactly_one_change(steps: list[tuple[int, int]]) -> None:
    log = log_of_changes(steps)
    accepted: dict[int, str] = {}
    state = CatalogueState()
    for offset, value in enumerate(log):
        assert isinstance(value, Change)
        after = reduce_change(state, value, offset)
        if after is not state:
            assert after.catalogue.version == state.catalogue.version + 1
            assert after.catalogue.version not in accepted
            accepted[after.catalogue.version] = value.change_id
        state = after

    assert sorted(accepted) == list(range(1, state.catalogue.version + 1))
    assert len(set(accepted.values())) == len(accepted), (
        "a repeated change was accepted twice"
    )
    assert state.change_id == accepted.get(state.catalogue.version, "")


@settings(max_examples=300)
@given(
    CONCURRENT_CHANGES,
    st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=20),
)
def test_version_in_force_never_decreases_in_any_order_of_log_and_peers(
    steps: list[tuple[int, int]], received: list[tuple[bool, int]]
) -> None:
    log = log_of_changes(steps)
    states = [state_of(log[:n]) for n in range(len(log) + 1)]
    in_force = CatalogueState()
    replay = new_catalogue_replay()
    for from_log, number in received:
        before = in_force
        if from_log:
            replay, _ = read_catalogue(replay, 0, list(enumerate(log))[:number])
            in_force = newer_state(in_force, replay.state)
        else:
            in_force = newer_state(in_force, states[number % len(states)])
        assert in_force.catalogue.version >= before.catalogue.version
        if in_force.catalogue.version == before.catalogue.version:
            assert in_force == before
    assert in_force in states


@settings(max_examples=300)
@given(CONCURRENT_CHANGES, st.sets(st.integers(0, 60)), st.integers(0, 60))
def test_reader_gets_the_whole_state_although_old_records_are_not_retained(
    steps: list[tuple[int, int]], places: set[int], oldest: int
) -> None:
    log: Log = []
    for number, value in enumerate(log_of_changes(steps)):
        if number in places:
            log.append(Snapshot(len(log) - 1, state_of(log)))
        log.append(value)
    oldest = min(oldest, len(log))
    numbered = list(enumerate(log))[oldest:]

    replay, _ = read_catalogue(new_catalogue_replay(), oldest, numbered)

    covered = any(
        isinstance(v, Snapshot) and v.offset >= oldest - 1 for v in log[oldest:]
    )
    assert replay.complete == (oldest == 0 or covered)
    if replay.complete:
        assert replay.state == state_of(log)


def test_inconsistent_change_is_rejected() -> None:
    unknown_class = replace(CATALOGUE, classes=())
    other_rank = replace(CATALOGUE, entries=(replace(READ, rank=0),))
    duplicate_kind = replace(CATALOGUE, entries=(READ, READ))

    for catalogue in (unknown_class, other_rank, duplicate_kind):
        before = CatalogueState()
        assert reduce_change(before, Change("id", 0, catalogue), 0) is before
