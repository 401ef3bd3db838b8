"""Complete responses that their caller has not read when a later request of
the connection fails."""

import asyncio

import pytest

from medlarhollow.messages.records import CallerLimits

from .fakes import connect_narrowly
from .fakes import EntryHarness
from .fakes import FakeBackend
from .fakes import read_body
from .fakes import respond
from .test_shared_connections import by_path
from .test_shared_connections import LOOKUP
from .test_shared_connections import ORDER
from .test_shared_connections import read_response

# The order is answered before, and read after the look-up has failed.
BREAK_S = 0.2
LATE_S = 0.6
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PARTS = {
    "head": (LENGTH, b""),
    "body": (LENGTH, b"half"),
    "chunk": (CHUNKED, b"8\r\nhalf"),
    "chunks": (CHUNKED, b"4\r\nhalf\r\n"),
}


def break_off(head, part):
    """Return a behaviour that ends its connection within the response."""

    async def behaviour(request, reader, writer):
        await read_body(request, reader)
        writer.write(head + part)
        await asyncio.sleep(BREAK_S)

    return behaviour


async def read_rest(reader):
    """Return what follows, and whether a reset ended it."""
    data = bytearray()
    try:
        while received := await asyncio.wait_for(reader.read(65536), 3.0):
            data += received
    except ConnectionError:
        return bytes(data), True
    return bytes(data), False


def check_truncated(data, is_reset):
    """Check that a client sees an incomplete response, or none."""
    if is_reset or not data:
        return
    head, _, body = data.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in head.lower():
        assert not body.endswith(b"0\r\n\r\n")
    else:
        length = int(head.lower().split(b"content-length: ")[1].split()[0])
        assert len(body) < length


async def check_order(reader, size=4):
    head, body = await read_response(reader)
    assert (head.split(b" ")[1], len(body)) == (b"200", size)


@pytest.mark.parametrize("place", [1, 3])
@pytest.mark.parametrize("part", PARTS.values(), ids=PARTS)
async def test_unread_response_survives_a_truncated_one(part, place):
    """Guards an answered order against the truncated response behind it."""
    backend = FakeBackend(
        by_path({"/post": respond(), "/open": break_off(*part)})
    )
    entry = EntryHarness()
    async with entry.run(backend):
        reader, writer = await entry.connect(
            ORDER * place + LOOKUP + b"\r\n" + LOOKUP + b"\r\n"
        )
        await asyncio.sleep(LATE_S)
        for _ in range(place):
            await check_order(reader)
        check_truncated(*await read_rest(reader))
        writer.close()


async def test_unread_response_survives_a_timeout_after_the_start():
    """Guards an answered order against a body behind it that never ends."""

    async def stall(request, reader, writer):
        writer.write(CHUNKED + b"4\r\nhalf\r\n")
        await reader.read()

    backend = FakeBackend(by_path({"/post": respond(), "/short": stall}))
    entry = EntryHarness()
    entry.add_route("/short", timeout_s=0.4, open=True, idempotent=True)
    async with entry.run(backend):
        reader, writer = await entry.connect(
            ORDER + LOOKUP.replace(b"/open", b"/short") + b"\r\n"
        )
        await asyncio.sleep(1.0)
        await check_order(reader)
        check_truncated(*await read_rest(reader))
        writer.close()


@pytest.mark.parametrize("part", PARTS.values(), ids=PARTS)
async def test_unread_response_reaches_a_narrow_link(part):
    """Guards a large response, most of which is still to be sent."""
    size = 200_000
    backend = FakeBackend(
        by_path(
            {"/post": respond(bytes(size)), "/open": break_off(*part)},
        )
    )
    entry = EntryHarness()
    async with entry.run(backend):
        reader, writer = await connect_narrowly(
            entry.address, ORDER + LOOKUP + b"\r\n"
        )
        await asyncio.sleep(LATE_S)
        await check_order(reader, size)
        check_truncated(*await read_rest(reader))
        writer.close()


@pytest.mark.parametrize("part", PARTS.values(), ids=PARTS)
async def test_truncated_http_1_0_response_behind_an_unread_one(part):
    """Guards callers of HTTP/1.0: a close must not complete a response
    without a length, and the response before it must be readable."""
    backend = FakeBackend(
        by_path({"/post": respond(), "/open": break_off(*part)})
    )
    entry = EntryHarness()
    async with entry.run(backend):
        reader, writer = await entry.connect(
            ORDER + LOOKUP.replace(b"1.1", b"1.0") + b"\r\n"
        )
        await asyncio.sleep(LATE_S)
        await check_order(reader)
        data, is_reset = await read_rest(reader)
        if part[0] == CHUNKED:
            assert is_reset
        else:
            check_truncated(data, is_reset)
        writer.close()


@pytest.mark.parametrize(
    "body",
    [b"Content-Length: 9\r\n\r\nhalf", b"Transfer-Encoding: chunked\r\n\r\n"],
    ids=["short", "chunked"],
)
async def test_unread_response_survives_a_stalled_body(body):
    """Guards an answered order against a body behind it that never ends."""
    backend = FakeBackend(respond())
    entry = EntryHarness(stall_timeout_s=0.15)
    async with entry.run(backend):
        reader, writer = await entry.connect(ORDER + LOOKUP + body)
        await asyncio.sleep(LATE_S)
        await check_order(reader)
        rest = (await read_rest(reader))[0].lower()
        assert not rest or b"x-medlarhollow-outcome: unknown" in rest
        writer.close()


async def test_unread_response_survives_a_body_above_the_limit():
    """Guards an answered order against a body behind it that is too large."""
    backend = FakeBackend(by_path({"/post": respond(), "/open": read_body}))
    entry = EntryHarness()
    entry.state_cache.state.limits = CallerLimits(body_bytes=64)
    async with entry.run(backend):
        reader, writer = await entry.connect(
            ORDER + LOOKUP + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"
        )
        await asyncio.sleep(0.1)
        writer.write(b"80\r\n" + bytes(128) + b"\r\n")
        await asyncio.sleep(LATE_S)
        await check_order(reader)
        writer.close()
