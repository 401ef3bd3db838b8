"""Large responses that consist of short lines or chunks."""

import asyncio

import pytest

from .fakes import EntryHarness
from .fakes import FakeBackend
from .test_endless_responses import CHUNKED
from .test_endless_responses import HEAD

ROUTE_TIMEOUT_S = 1.2
# Time after the route's timeout by which a request must have its answer.
ANSWER_BOUND_S = 0.5
BODY_BYTES = 540_000
REQUESTS = 8


def make_lines(size):
    return (b"x" * (size - 1) + b"\n") * (BODY_BYTES // size)


def make_chunks(size):
    chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
    return chunk * (BODY_BYTES // size) + b"0\r\n\r\n"


LENGTH = HEAD + b"Content-Length: %d\r\n\r\n"
FORMS = {
    **{
        f"length, lines of {size}": (LENGTH % BODY_BYTES, make_lines(size))
        for size in (20, 40, 60, 100)
    },
    "no length, lines of 40": (
        HEAD + b"Connection: close\r\n\r\n",
        make_lines(40),
    ),
    "HTTP/1.0, lines of 40": (b"HTTP/1.0 200 OK\r\n\r\n", make_lines(40)),
    "chunks of 40": (CHUNKED, make_chunks(40)),
    "chunks of 200": (CHUNKED, make_chunks(200)),
}


def send_at_once(head, body):
    async def behaviour(request, reader, writer):
        writer.write(head + body)
        await writer.drain()

    return behaviour


@pytest.mark.parametrize("form", FORMS.values(), ids=FORMS)
async def test_response_in_short_lines_is_complete_in_time(form):
    """Guards against a limit on line ends that applies to an idle VM, or to
    bodies whose framing has none."""
    entry = EntryHarness()
    entry.add_route(
        "/text", timeout_s=ROUTE_TIMEOUT_S, open=True, idempotent=True
    )
    async with entry.run(FakeBackend(send_at_once(*form))):
        async with asyncio.timeout(ROUTE_TIMEOUT_S + ANSWER_BOUND_S):
            responses = await asyncio.gather(
                *(entry.call("/text", key=False) for _ in range(REQUESTS))
            )
    for status, _, body in responses:
        assert (status, len(body)) == (200, BODY_BYTES)
