"""Tests of backend servers that send data without end."""

import asyncio

import pytest

from medlarhollow import clock

from .fakes import EntryHarness
from .fakes import eventually
from .fakes import FakeBackend
from .fakes import respond

ROUTE_TIMEOUT_S = 1.0
# Time after the route's timeout by which everything must have ended.
MARGIN_S = 1.0
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def send_without_end(first, rest):
    """Send `first`, then `rest` until the connection is closed."""

    async def behaviour(request, reader, writer):
        writer.write(first)
        while True:
            writer.write(rest)
            await writer.drain()
            await asyncio.sleep(0)

    return behaviour


HEADS = {
    "garbage": (b"", b"\x00garbage" * 512),
    "status line": (b"HTTP/1.1 200 ", b"O" * 4096),
    "one header": (HEAD + b"X-Long: ", b"x" * 4096),
    "headers": (HEAD, b"X-More: again and again\r\n" * 64),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
}
BODIES = {
    "no length": (HEAD + b"\r\n", b"x" * 4096),
    "chunks": (CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "chunk extension": (CHUNKED + b"5;", b"a=b;" * 1024),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: again\r\n" * 64),
}


def make_entry(**settings):
    entry = EntryHarness(**settings)
    entry.add_route(
        "/short", timeout_s=ROUTE_TIMEOUT_S, open=True, idempotent=True
    )
    return entry


@pytest.mark.parametrize("case", HEADS.values(), ids=HEADS)
async def test_endless_head_times_out(case):
    endless = FakeBackend(send_without_end(*case))
    entry = make_entry()
    async with entry.run(endless, FakeBackend(respond(b"second"))):
        started_at = clock.monotonic()
        async with asyncio.timeout(ROUTE_TIMEOUT_S + MARGIN_S):
            status, _, body = await entry.call("/short", key=False)
        assert (status, body) in [(200, b"second")] or status in (502, 504)
        await eventually(lambda: endless.closed, MARGIN_S)
    assert clock.monotonic() - started_at < ROUTE_TIMEOUT_S + 2 * MARGIN_S


@pytest.mark.parametrize("case", BODIES.values(), ids=BODIES)
async def test_endless_body_is_truncated_at_deadline(case):
    endless = FakeBackend(send_without_end(*case))
    entry = make_entry()
    async with entry.run(endless):
        reader, writer = await entry.connect(
            b"GET /short HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        async with asyncio.timeout(ROUTE_TIMEOUT_S + MARGIN_S):
            received, is_reset = await read_until_closed(reader)
        # A fault that is found before the head is forwarded allows a complete
        # response of the entry VM's own.
        if received.startswith(b"HTTP/1.1 502 "):
            assert b"\r\nx-medlarhollow-outcome: unknown\r\n" in received
        else:
            assert is_reset, "the response ended like a complete one"
            assert not received.endswith(b"0\r\n\r\n")
        await eventually(lambda: endless.closed, MARGIN_S)
        writer.close()


COMPLETE_RESPONSE = HEAD + b"Content-Length: 5\r\n\r\nwhole"
EXTRA = {"garbage": b"\x00garbage" * 512, "heads": HEAD * 64}


def send_response_then_endless(extra):
    """Send a complete response and, after a short delay, endless data."""
    send_rest = send_without_end(b"", extra)

    async def behaviour(request, reader, writer):
        writer.write(COMPLETE_RESPONSE)
        await writer.drain()
        await asyncio.sleep(0.05)
        await send_rest(request, reader, writer)

    return behaviour


async def call_twice(endless):
    """Make two calls, each followed by the close of its connection."""
    entry = make_entry()
    async with entry.run(endless):
        for _ in range(2):
            async with asyncio.timeout(ROUTE_TIMEOUT_S + MARGIN_S):
                status, _, body = await entry.call("/short", key=False)
            assert (status, body) == (200, b"whole")
            await eventually(lambda: endless.closed, MARGIN_S)


@pytest.mark.parametrize("extra", EXTRA.values(), ids=EXTRA)
async def test_endless_data_after_response_is_discarded(extra):
    await call_twice(FakeBackend(send_response_then_endless(extra)))


@pytest.mark.parametrize("extra", EXTRA.values(), ids=EXTRA)
async def test_response_survives_data_in_same_read(extra):
    await call_twice(FakeBackend(send_without_end(COMPLETE_RESPONSE, extra)))


async def test_endless_refused_response_is_closed():
    """Guards retries against delay: the rest of a response that is not
    forwarded is not read."""
    first = b"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n"
    endless = FakeBackend(send_without_end(first, BODIES["chunks"][1]))
    entry = make_entry()
    async with entry.run(endless, FakeBackend(respond(b"second"))):
        for _ in range(3):
            started_at = clock.monotonic()
            status, _, body = await entry.call("/short", key=False)
            assert (status, body) == (200, b"second") or status == 503
            assert clock.monotonic() - started_at < ROUTE_TIMEOUT_S + MARGIN_S
        await eventually(lambda: endless.closed, MARGIN_S)


async def read_until_closed(reader):
    """Return the received data and whether the connection was reset."""
    received = bytearray()
    try:
        while data := await reader.read(65536):
            received += data
    except ConnectionError:
        return bytes(received), True
    return bytes(received), False


async def read_until_reset(reader):
    """Return the data received before the connection is reset."""
    received, is_reset = await read_until_closed(reader)
    assert is_reset, "the response ended like a complete one"
    return received
