"""Requests that fail behind an order on the connection of their caller."""

import asyncio

import pytest

from medlarhollow.messages.records import CallerLimits

from .fakes import EntryHarness
from .fakes import FakeBackend
from .fakes import respond
from .fakes import truncate_body
from .fakes import truncate_chunks

ORDER = b"POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n40"
LOOKUP = b"GET /open HTTP/1.1\r\nHost: x\r\n"
ORDER_S = 0.4


def by_path(behaviours):
    """Return a behaviour that depends on the first word of the path."""

    async def behaviour(request, reader, writer):
        path = request.head.split(b" ")[1].decode()
        return await behaviours[path](request, reader, writer)

    return behaviour


async def read_response(reader):
    async with asyncio.timeout(3.0):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
        return head, await reader.readexactly(length)


@pytest.mark.parametrize("truncate", [truncate_body, truncate_chunks])
async def test_truncated_response_leaves_an_earlier_order_alone(truncate):
    """Guards a running order against a truncated response behind it."""
    backend = FakeBackend(
        by_path({"/post": respond(delay_s=ORDER_S), "/open": truncate})
    )
    entry = EntryHarness()
    async with entry.run(backend):
        reader, writer = await entry.connect(ORDER)
        await asyncio.sleep(0.05)
        writer.write(LOOKUP + b"\r\n")
        head, body = await read_response(reader)
        assert (head.split(b" ")[1], body) == (b"200", b"done")
        head, _ = await read_response(reader)
        assert head.split(b" ")[1] == b"502"
        assert b"x-medlarhollow-outcome: unknown" in head
        writer.write(ORDER)
        head, body = await read_response(reader)
        assert (head.split(b" ")[1], body) == (b"200", b"done")
        writer.close()


@pytest.mark.parametrize(
    "body",
    [b"Content-Length: 9\r\n\r\nhalf", b"Transfer-Encoding: chunked\r\n\r\n"],
    ids=["short", "chunked"],
)
async def test_stalled_body_leaves_an_earlier_order_alone(body):
    """Guards a running order against a body behind it that never ends."""
    backend = FakeBackend(
        by_path({"/post": respond(delay_s=ORDER_S), "/open": respond()})
    )
    entry = EntryHarness(stall_timeout_s=0.15)
    async with entry.run(backend):
        reader, writer = await entry.connect(ORDER)
        await asyncio.sleep(0.05)
        writer.write(LOOKUP + body)
        head, _ = await read_response(reader)
        assert head.split(b" ")[1] == b"200"
        rest = (await reader.read()).lower()
        assert not rest or b"x-medlarhollow-outcome: unknown" in rest
        writer.close()


async def test_body_above_the_limit_leaves_an_earlier_order_alone():
    """Guards a running order against a body behind it that is too large."""
    backend = FakeBackend(
        by_path({"/post": respond(delay_s=ORDER_S), "/open": respond()})
    )
    entry = EntryHarness()
    entry.state_cache.state.limits = CallerLimits(body_bytes=64)
    async with entry.run(backend):
        reader, writer = await entry.connect(ORDER)
        await asyncio.sleep(0.05)
        writer.write(LOOKUP + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
        await asyncio.sleep(0.05)
        writer.write(b"80\r\n" + bytes(128) + b"\r\n")
        head, _ = await read_response(reader)
        assert head.split(b" ")[1] == b"200"
        writer.close()
