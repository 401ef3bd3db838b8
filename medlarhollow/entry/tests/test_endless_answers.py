"""FakeBackend servers that send bytes without end."""

import asyncio
import time

import pytest

from .fakes import EntryHarness
from .fakes import eventually
from .fakes import FakeBackend
from .fakes import respond

ROUTE_S = 1.0
# Time beyond the route's within which everything must have ended.
MARGIN_S = 1.0
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def send_without_end(first, rest):
    """Send `first`, then `rest` until the connection is closed."""

    async def behave(request, reader, writer):
        writer.write(first)
        while True:
            writer.write(rest)
            await writer.drain()
            await asyncio.sleep(0)

    return behave


HEADS = {
    "garbage": (b"", b"\x00garbage" * 512),
    "status line": (b"HTTP/1.1 200 ", b"O" * 4096),
    "one header": (HEAD + b"X-Long: ", b"x" * 4096),
    "headers": (HEAD, b"X-More: again and again\r\n" * 64),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
}
BODIES = {
    "no length": (HEAD + b"\r\n", b"x" * 4096),
    "chunks": (CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "chunk extension": (CHUNKED + b"5;", b"a=b;" * 1024),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: again\r\n" * 64),
}


def make_entry(**more):
    entry = EntryHarness(**more)
    entry.add_route("/short", timeout_s=ROUTE_S, open=True, idempotent=True)
    return entry


@pytest.mark.parametrize("case", HEADS.values(), ids=HEADS)
async def test_head_without_end_is_given_up(case):
    endless = FakeBackend(send_without_end(*case))
    entry = make_entry()
    async with entry.run(endless, FakeBackend(respond(b"second"))):
        started_at = time.monotonic()
        async with asyncio.timeout(ROUTE_S + MARGIN_S):
            status, _, body = await entry.call("/short", key=False)
        assert (status, body) in [(200, b"second")] or status in (502, 504)
        await eventually(lambda: endless.closed, MARGIN_S)
    assert time.monotonic() - started_at < ROUTE_S + 2 * MARGIN_S


@pytest.mark.parametrize("case", BODIES.values(), ids=BODIES)
async def test_body_without_end_is_cut_at_the_deadline(case):
    endless = FakeBackend(send_without_end(*case))
    entry = make_entry()
    async with entry.run(endless):
        reader, writer = await entry.connect(
            b"GET /short HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        async with asyncio.timeout(ROUTE_S + MARGIN_S):
            received = await read_until_reset(reader)
        assert not received.endswith(b"0\r\n\r\n")
        await eventually(lambda: endless.closed, MARGIN_S)
        writer.close()


WHOLE = HEAD + b"Content-Length: 5\r\n\r\nwhole"
EXTRA = {"garbage": b"\x00garbage" * 512, "heads": HEAD * 64}


def send_and_go_on(extra):
    """Send a whole answer, and a moment later bytes without end."""
    go_on = send_without_end(b"", extra)

    async def behave(request, reader, writer):
        writer.write(WHOLE)
        await writer.drain()
        await asyncio.sleep(0.05)
        await go_on(request, reader, writer)

    return behave


async def call_twice(endless):
    """Make a call, wait for the close of its connection, make another."""
    entry = make_entry()
    async with entry.run(endless):
        for _ in range(2):
            async with asyncio.timeout(ROUTE_S + MARGIN_S):
                status, _, body = await entry.call("/short", key=False)
            assert (status, body) == (200, b"whole")
            await eventually(lambda: endless.closed, MARGIN_S)


@pytest.mark.parametrize("extra", EXTRA.values(), ids=EXTRA)
async def test_bytes_without_end_behind_an_answer_reach_no_caller(extra):
    await call_twice(FakeBackend(send_and_go_on(extra)))


@pytest.mark.parametrize("extra", EXTRA.values(), ids=EXTRA)
async def test_answer_is_not_lost_for_bytes_that_come_with_it(extra):
    await call_twice(FakeBackend(send_without_end(WHOLE, extra)))


async def test_refused_answer_without_end_is_closed():
    """Guards the time of a retry: nothing waits for the rest of an answer
    that the caller does not get."""
    first = b"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n"
    endless = FakeBackend(send_without_end(first, BODIES["chunks"][1]))
    entry = make_entry()
    async with entry.run(endless, FakeBackend(respond(b"second"))):
        for _ in range(3):
            started_at = time.monotonic()
            status, _, body = await entry.call("/short", key=False)
            assert (status, body) == (200, b"second") or status == 503
            assert time.monotonic() - started_at < ROUTE_S + MARGIN_S
        await eventually(lambda: endless.closed, MARGIN_S)


async def read_until_reset(reader):
    """Return what arrives before the connection is reset."""
    received = bytearray()
    try:
        while data := await reader.read(65536):
            received += data
    except ConnectionError:
        return bytes(received)
    raise AssertionError("the answer ended as if it were whole")
