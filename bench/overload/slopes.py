"""Time and memory of the guard's decisions, per call."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Iterator
from random import Random

from _masticspoke.decisions import admission
from _masticspoke.decisions.estimators import Rate
from _masticspoke.decisions.lanes import lane_of
from _masticspoke.decisions.limit import LimitState
from _masticspoke.decisions.occupancy import AdmissionState
from _masticspoke.decisions.shares import shares_of
from _masticspoke.model import Call
from bench.overload.workloads import catalogue_of
from bench.overload.workloads import SLOVAKIA

_CALLS = 20_000
_SHORT_QUEUE = 100


def slopes() -> Iterator[tuple[str, str]]:
    """Yield the name and the value of each cost per call.

    The rows named CPU give wall-clock time.
    """
    yield "CPU, call that runs at once (admit and finish)", _time_immediate()
    yield "CPU, call that is refused while all is busy", _time_refused()
    for count in (100, 10_000):
        yield f"CPU, call that waits among {count} (queue, start)", _time_queued(count)
    yield "memory of a running call, without the call itself", _memory(running=True)
    yield "memory of a queued call, without the call itself", _memory(running=False)


def _state(limit: int, queue_length: int) -> AdmissionState:
    limit_state = LimitState(ceiling=limit, value=float(limit))
    shares = shares_of(catalogue_of(SLOVAKIA))
    state = AdmissionState(queue_length, Random(1), limit_state, shares)
    # A long queue needs a high start rate: a lane holds only what can start in time.
    fast_start_rates = {lane_of(_call(rank)): Rate(1e6) for rank in range(4)}
    state.start_rates.update(fast_start_rates if queue_length > _SHORT_QUEUE else {})
    return state


def _call(rank: int = 1) -> Call:
    return Call("a" * 32, f"kind-{rank}", "s", rank, 1e9, True)


def _microseconds(started: float, count: int) -> str:
    return f"{(time.perf_counter() - started) / count * 1e6:.1f} us"


def _time_immediate() -> str:
    state, call = _state(250, 100), _call()
    started = time.perf_counter()
    for ticket in range(_CALLS):
        admission.arrive(state, ticket, call, ticket * 1e-3)
        admission.finish(state, ticket, 0.1, ticket * 1e-3)
    return _microseconds(started, _CALLS)


def _time_refused() -> str:
    state, call = _state(1, 100), _call()
    for ticket in range(10):
        admission.arrive(state, ticket, call, 0.0)
    started = time.perf_counter()
    for ticket in range(10, 10 + _CALLS):
        admission.arrive(state, ticket, call, 0.0)
    return _microseconds(started, _CALLS)


def _time_queued(count: int) -> str:
    state = _state(1, 10 * count)
    calls = [_call(rank) for rank in range(4)]
    for ticket in range(count):
        admission.arrive(state, ticket, calls[ticket % 4], 0.0)
    started = time.perf_counter()
    for ticket in range(count, count + _CALLS):
        admission.arrive(state, ticket, calls[ticket % 4], 0.0)
        running = next(iter(state.running))
        admission.finish(state, running, None, 0.0)
    return _microseconds(started, _CALLS)


def _memory(*, running: bool) -> str:
    state, call = _state(_CALLS if running else 1, 10 * _CALLS), _call()
    admission.arrive(state, -1, call, 0.0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for ticket in range(_CALLS - 1):
        admission.arrive(state, ticket, call, 0.0)
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    call_count = len(state.running) if running else len(state.waiting)
    return f"{used_bytes / call_count:.0f} bytes"
