from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
from testing.standins.log_service import application
from testing.standins.log_service import LogService
from testing.test_node import run_server

from _masticspoke.model import Address
from _masticspoke.platform.log import append
from _masticspoke.platform.log import Appended
from _masticspoke.platform.log import Fence
from _masticspoke.platform.log import keyed_record
from _masticspoke.platform.log import LogClient
from _masticspoke.platform.log import LogFault
from _masticspoke.platform.log import NewestValues
from _masticspoke.platform.log import read
from _masticspoke.platform.log import read_newest
from _masticspoke.platform.log import ReadResult
from _masticspoke.platform.log import split_keyed


def run_scenario(scenario: Callable[[LogService, LogClient], Awaitable[None]]) -> None:
    async def run() -> None:
        log = LogService()
        async with (
            run_server(application(log)) as port,
            aiohttp.ClientSession() as session,
        ):
            await scenario(log, LogClient(session, Address("127.0.0.1", port), 0.5))

    asyncio.run(run())


def test_records_come_back_in_order_with_their_offsets() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        assert await append(client, "s", [b"a", b"", b"ccc"]) == Appended(0)
        assert await append(client, "s", [b"d"]) == Appended(3)
        result = await read(client, "s", 1, 0.0)
        assert isinstance(result, ReadResult)
        assert [(r.offset, r.data) for r in result.records] == [
            (1, b""),
            (2, b"ccc"),
            (3, b"d"),
        ]
        assert result.next_offset == 4

    run_scenario(scenario)


def test_append_at_another_offset_than_the_end_is_refused() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        assert await append(client, "s", [b"a"], expected_end=0) == Appended(0)
        assert (
            await append(client, "s", [b"b"], expected_end=0)
            is LogFault.OFFSET_MISMATCH
        )
        assert log.stream("s").next == 1

    run_scenario(scenario)


def test_read_waits_for_a_record() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        waiting = asyncio.create_task(read(client, "s", 0, 5.0))
        await asyncio.sleep(0.05)
        log.add(log.stream("s"), [b"late"])
        result = await waiting
        assert isinstance(result, ReadResult)
        assert [r.data for r in result.records] == [b"late"]

    run_scenario(scenario)


def test_read_of_dropped_records_returns_the_oldest_offset() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        stream = log.stream("s")
        log.add(stream, [b"a", b"b", b"c"])
        log.trim(stream, 2)
        assert await read(client, "s", 0, 0.0) == ReadResult(
            (), 2, 2, reaches_end=False
        )

    run_scenario(scenario)


def test_answer_with_a_part_of_the_records_says_so() -> None:
    """A reader that takes it for the end believes an old value to be the newest."""

    async def scenario(log: LogService, client: LogClient) -> None:
        log.add(log.stream("s"), [b"a"] * 1500)
        first = await read(client, "s", 0, 0.0)
        assert isinstance(first, ReadResult)
        assert (first.next_offset, first.reaches_end) == (1000, False)
        rest = await read(client, "s", first.next_offset, 0.0)
        assert isinstance(rest, ReadResult)
        assert (rest.next_offset, rest.reaches_end) == (1500, True)

    run_scenario(scenario)


# A follower stayed at an offset that the log had lost, and skipped records.
def test_read_beyond_the_end_returns_the_oldest_offset() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        stream = log.stream("s")
        log.add(stream, [b"a"])
        copy = log.copy()
        log.add(stream, [b"b", b"c"])
        log.restore(copy)
        result = await read(client, "s", 3, 0.0)
        assert result == ReadResult((), 0, 0, reaches_end=False)

    run_scenario(scenario)


def test_newest_value_of_each_key_is_read_over_pages() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        stream = log.stream("keyed.s")
        records = [keyed_record(f"k{n:04}", b"old") for n in range(1200)]
        log.add(stream, [*records, keyed_record("k0007", b"new")])
        log.add(stream, [keyed_record("k0008", b"")])
        result = await read_newest(client, "keyed.s")
        assert isinstance(result, NewestValues)
        assert len(result.values) == 1199
        assert result.values["k0007"] == b"new"
        assert result.next_offset == 1202

    run_scenario(scenario)


def test_lost_answer_is_unknown_and_refusal_is_not_done() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        log.faults.lose_append_answers = 1
        assert await append(client, "s", [b"a"]) is LogFault.UNKNOWN
        assert log.stream("s").next == 1
        log.faults.appends_per_s = 0
        assert await append(client, "s", [b"b"]) is LogFault.NOT_DONE
        log.faults.appends_per_s = 100
        log.faults.down = True
        assert await append(client, "s", [b"b"]) is LogFault.NOT_DONE
        assert await read(client, "s", 0, 0.0) is LogFault.NOT_DONE
        assert await read_newest(client, "keyed.s") is LogFault.NOT_DONE

    run_scenario(scenario)


def test_append_may_take_effect_after_its_connection_broke() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        log.faults.late_appends = 1
        assert await append(client, "s", [b"a"]) is LogFault.UNKNOWN
        assert log.stream("s").next == 0
        await asyncio.sleep(0.2)
        assert log.stream("s").next == 1

    run_scenario(scenario)


# An append without an answer was done after a later one of the same writer.
def test_append_is_never_done_after_a_later_one_of_its_writer() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        log.faults.late_appends = 1
        late = await append(client, "s", [b"a"], fence=Fence("w", 5))
        assert late is LogFault.UNKNOWN
        assert await append(client, "s", [b"b"], fence=Fence("w", 6)) == Appended(0)
        await asyncio.sleep(0.2)
        assert log.stream("s").records == [b"b"]
        earlier = await append(client, "s", [b"c"], fence=Fence("w", 4))
        assert earlier is LogFault.FENCED
        assert await append(client, "s", [b"d"], fence=Fence("x", 4)) == Appended(1)

    run_scenario(scenario)


def test_request_to_a_silent_log_times_out() -> None:
    async def scenario(log: LogService, client: LogClient) -> None:
        log.faults.silent = True
        assert await append(client, "s", [b"a"]) is LogFault.UNKNOWN
        assert await read(client, "s", 0, 0.0) is LogFault.NOT_DONE

    run_scenario(scenario)


def test_keyed_record_is_split_into_key_and_value_unless_malformed() -> None:
    assert split_keyed(keyed_record("config", b"{}")) == ("config", b"{}")
    assert split_keyed(keyed_record("config", b"")) == ("config", b"")
    assert split_keyed(b"") is None
    assert split_keyed(b"\x09abc") is None
