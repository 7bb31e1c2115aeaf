from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Sequence

import aiohttp
import pytest
from testing.test_http_pool import run_scenario
from testing.test_http_pool import start_raw_server

from _masticspoke.connections import Connections

_BETWEEN_SEGMENTS_S = 0.02
_AT_ONCE_S = 1.0
ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Last: y\r\n\r\n",
    "unframed": b"HTTP/1.1 200 OK\r\nX-Last: y\r\nConnection: close\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\nX-Last: y\r\n\r\n",
}


# MIXED, ORDER: a head that broke off reached the client as a whole answer.
@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_answer_that_breaks_off_within_its_head_is_an_error(answer: bytes) -> None:
    cuts = iter(range(len(answer)))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer[: next(cuts)])
        await writer.drain()
        writer.close()

    async def scenario() -> None:
        server, address = await start_raw_server(serve)
        connections = Connections()
        await connections.open(1.0)
        for _ in answer:
            with pytest.raises(aiohttp.ClientError):
                async with connections.session.get(f"http://{address}/") as response:
                    await response.read()
        server.close()
        await connections.close()

    run_scenario(scenario())


_COPY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Id: 1\r\n"
    b"Content-Length: 5\r\n\r\nfirst"
)
_FAILURE = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n"
    b"Content-Length: 3\r\n\r\nown"
)


async def answer_behind_bytes(
    first: Sequence[bytes], second: Sequence[bytes]
) -> tuple[int | None, bytes | None]:
    """Return status and body of the answer to the second of two requests.

    :param first: segments that the server sends for the first request of a connection.
    :param second: segments that it sends for each later one.
    :return: ``None`` for what had not come when the request ended with an error.
    """
    status = body = None

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        segments = first
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/second" in head and segments is first:
                    segments = [_FAILURE]  # on a connection of its own
                for segment in segments:
                    writer.write(segment)
                    await asyncio.sleep(_BETWEEN_SEGMENTS_S)
                segments = second
        writer.close()

    server, address = await start_raw_server(serve)
    connections = Connections()
    await connections.open(1.0)
    try:
        async with connections.session.get(f"http://{address}/first") as response:
            assert await response.read() == b"first"
        async with asyncio.timeout(_AT_ONCE_S):
            async with connections.session.get(f"http://{address}/second") as response:
                status = response.status
                body = await response.read()
    except (aiohttp.ClientError, TimeoutError):
        pass
    finally:
        await connections.close()
        server.close()
    return status, body


async def wrong_answers(
    lengths: range,
    segments: Callable[[bytes], tuple[list[bytes], list[bytes]]],
    *,
    may_fail: bool,
) -> list[int]:
    """Return the lengths of the copy whose beginning changes the next answer.

    :param may_fail: whether the next request may end with an error, before a status.
    """
    right = [(500, b"own"), *([(None, None)] if may_fail else [])]
    answers = await asyncio.gather(
        *(answer_behind_bytes(*segments(_COPY[:length])) for length in lengths)
    )
    return [
        length
        for length, answer in zip(lengths, answers, strict=True)
        if answer not in right
    ]


# MIXED: bytes behind an answer were parsed with, or as, the answer to the next request.
@pytest.mark.parametrize("body_starts_at", [0, 2], ids=["one-segment", "split-body"])
def test_bytes_behind_an_answer_are_no_part_of_the_next(body_starts_at: int) -> None:
    end = len(_COPY) - body_starts_at

    def segments(copy: bytes) -> tuple[list[bytes], list[bytes]]:
        own = _COPY if not body_starts_at else _COPY[end:]
        return [*([_COPY[:end]] if body_starts_at else []), own + copy], [_FAILURE]

    lengths = range(1, len(_COPY) + 1)
    assert run_scenario(wrong_answers(lengths, segments, may_fail=False)) == []


# MIXED: a request that the server failed got the status of an answer before it.
def test_beginning_of_a_copy_gives_no_status_to_the_next_answer() -> None:
    def segments(copy: bytes) -> tuple[list[bytes], list[bytes]]:
        return [_COPY], [copy + _FAILURE]

    lengths = range(1, _COPY.index(b"first"))
    assert run_scenario(wrong_answers(lengths, segments, may_fail=True)) == []


@pytest.mark.parametrize("length", [1, 15, len(_COPY) - 6, len(_COPY)])
def test_connection_with_bytes_behind_an_answer_is_not_kept(length: int) -> None:
    heads = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal heads
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_COPY + _COPY[:length])
            await reader.readuntil(b"\r\n\r\n")
            heads += 1
        writer.close()

    async def scenario() -> None:
        server, address = await start_raw_server(serve)
        connections = Connections()
        await connections.open(1.0)
        for _ in range(2):
            async with connections.session.get(f"http://{address}/") as response:
                assert await response.read() == b"first"
        await connections.close()
        server.close()

    run_scenario(scenario())
    assert heads == 0


# MIXED: backend servers of this front end repeat no id.
def test_whole_copy_ahead_of_the_next_answer_is_not_taken_for_it() -> None:
    answer = run_scenario(answer_behind_bytes([_COPY], [_COPY + _FAILURE]))

    assert answer in ((500, b"own"), (None, None))


# The same, where the copy is read before the own answer arrives.
def test_whole_copy_well_ahead_of_the_next_answer_is_not_taken_for_it() -> None:
    answer = run_scenario(answer_behind_bytes([_COPY], [_COPY, _FAILURE]))

    assert answer in ((500, b"own"), (None, None))


# Each second request to a sound server failed.
def test_server_with_a_status_line_in_a_header_is_reached_anew_each_time() -> None:
    answer = (
        b"HTTP/1.1 200 OK\r\nX-Upstream: HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    )

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(answer)
        writer.close()

    async def scenario() -> None:
        server, address = await start_raw_server(serve)
        connections = Connections()
        await connections.open(1.0)
        for _ in range(3):
            async with connections.session.post(f"http://{address}/") as response:
                assert response.status == 200
        await connections.close()
        server.close()

    run_scenario(scenario())
