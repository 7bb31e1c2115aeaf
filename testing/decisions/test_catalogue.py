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


# Operators see any earlier version; each append may be repeated after a lost answer.
RACES = st.lists(st.tuples(st.integers(0, 4), st.integers(1, 3)), max_size=25)


def raced(steps: list[tuple[int, int]]) -> Log:
    log: Log = []
    for number, (behind, copies) in enumerate(steps):
        seen = max(0, state_of(log).catalogue.version - behind)
        log += [change(number, seen)] * copies
    return log


@settings(max_examples=300)
@given(RACES)
def test_exactly_one_change_wins_each_version(steps: list[tuple[int, int]]) -> None:
    log = raced(steps)
    winners: dict[int, str] = {}
    state = CatalogueState()
    for offset, value in enumerate(log):
        assert isinstance(value, Change)
        after = reduce_change(state, value, offset)
        if after is not state:
            assert after.catalogue.version == state.catalogue.version + 1
            assert after.catalogue.version not in winners
            winners[after.catalogue.version] = value.change_id
        state = after

    assert sorted(winners) == list(range(1, state.catalogue.version + 1))
    assert len(set(winners.values())) == len(winners), "a repeated change won twice"
    assert state.change_id == winners.get(state.catalogue.version, "")


@settings(max_examples=300)
@given(RACES, st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=20))
def test_node_never_goes_back_whatever_it_hears_and_in_which_order(
    steps: list[tuple[int, int]], heard: list[tuple[bool, int]]
) -> None:
    log = raced(steps)
    states = [state_of(log[:n]) for n in range(len(log) + 1)]
    in_force = CatalogueState()
    replay = new_catalogue_replay()
    for from_log, number in heard:
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
@given(RACES, st.sets(st.integers(0, 60)), st.integers(0, 60))
def test_retention_passing_over_old_records_loses_nothing(
    steps: list[tuple[int, int]], places: set[int], oldest: int
) -> None:
    log: Log = []
    for number, value in enumerate(raced(steps)):
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


def test_change_that_does_not_fit_its_classes_is_refused_by_every_reader() -> None:
    unknown_class = replace(CATALOGUE, classes=())
    other_rank = replace(CATALOGUE, entries=(replace(READ, rank=0),))
    twice = replace(CATALOGUE, entries=(READ, READ))

    for catalogue in (unknown_class, other_rank, twice):
        before = CatalogueState()
        assert reduce_change(before, Change("id", 0, catalogue), 0) is before
