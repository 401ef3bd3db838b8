"""Responses of backend servers whose head is no answer."""

import asyncio

import pytest

from .fakes import EntryHarness
from .fakes import FakeBackend
from .fakes import respond
from .test_dialect import call
from .test_dialect import DIALECT
from .test_dialect import SEAL_HEADER

BAD_STATUSES = ["000 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd"]
LOOKUP = b"GET /open/7 HTTP/1.1\r\nHost: x\r\nConnection: %s\r\n\r\n"


def answer(head, body=b"done"):
    """Return a behaviour that sends a head as it is and a body."""

    async def behaviour(request, reader, writer):
        writer.write(head + b"\r\n" + body)
        await writer.drain()

    return behaviour


async def read_head(reader):
    async with asyncio.timeout(3.0):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(
            head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
        )
        await reader.readexactly(length)
    return head


@pytest.mark.parametrize("status", BAD_STATUSES)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_status_that_is_none_ends_in_an_answer(status, method):
    """Guards callers against a closed connection without a byte, and
    against an answer without a status."""
    backend = FakeBackend(respond(status=status, headers=SEAL_HEADER))
    entry = EntryHarness()
    async with entry.run(backend):
        path = "/open/7" if method == "GET" else "/post"
        received, headers, _ = await call(entry, path, method)
    assert received == 502
    assert headers["x-medlarhollow-outcome"] == "unknown"


@pytest.mark.parametrize("status", BAD_STATUSES)
async def test_idempotent_request_is_sent_elsewhere(status):
    first = FakeBackend(respond(status=status, headers=SEAL_HEADER))
    second = FakeBackend(respond(body=b"right", headers=SEAL_HEADER))
    entry = EntryHarness()
    async with entry.run(first, second):
        received, _, body = await call(entry)
    assert (received, body) == (200, b"right")
    assert first.closed == len(first.requests)


@pytest.mark.parametrize("connection", [b"keep-alive", b"close"])
@pytest.mark.parametrize("status", BAD_STATUSES)
async def test_request_behind_a_bad_status_is_answered(status, connection):
    """Guards the other requests on the connection of the caller."""
    served = 0

    async def behaviour(request, reader, writer):
        nonlocal served
        served += 1
        bad = respond(status=status, headers=SEAL_HEADER)
        good = respond(headers=SEAL_HEADER)
        await (bad if served == 1 else good)(request, reader, writer)

    entry = EntryHarness()
    async with entry.run(FakeBackend(behaviour)):
        entry.vm.dialect = DIALECT
        reader, writer = await entry.connect(
            LOOKUP % b"keep-alive" + LOOKUP % connection
        )
        statuses = [(await read_head(reader))[9:12] for _ in range(2)]
        writer.close()
    assert sorted(statuses) == [b"200", b"502"]


@pytest.mark.parametrize(
    "line",
    [
        b"Content-Length: 4\r\nX-Odd: a\x01b\r\n",
        b"Content-Length: 4\r\nX{Odd}: a\r\n",
        b"Content-Length: 4\r\nX-Odd: a\x7fb\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: -4\r\n",
        b"Content-Length: 4 4\r\n",
        b"Transfer-Encoding: gzip\r\n",
    ],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_head_that_cannot_be_passed_on_ends_in_an_answer(line, method):
    """Guards callers against header fields that the writer refuses after
    the response has been taken for an answer."""
    head = b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\n" + line
    entry = EntryHarness()
    async with entry.run(FakeBackend(answer(head))):
        path = "/open/7" if method == "GET" else "/post"
        received, _, body = await call(entry, path, method)
    assert received == 502 or (received, body) == (200, b"done")


@pytest.mark.parametrize(
    ("status", "reason"),
    [("200", b"\xff\xfe\x80"), ("200", b""), ("204", b"x"), ("304", b"x")],
)
async def test_odd_reason_and_bodiless_status_are_passed_on(status, reason):
    """Guards genuine answers: only the status and the fields decide."""
    head = b"HTTP/1.1 %s %s\r\nX-Seal: 1\r\n" % (status.encode(), reason)
    has_body = status == "200"
    if has_body:
        head += b"Content-Length: 4\r\n"
    entry = EntryHarness()
    backend = FakeBackend(answer(head, b"done"))
    async with entry.run(backend):
        received, _, body = await call(entry)
    assert received == int(status)
    assert body == (b"done" if has_body else b"")


async def test_response_with_trailers_is_passed_on():
    head = b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nTransfer-Encoding: chunked\r\n"
    entry = EntryHarness()
    backend = FakeBackend(answer(head, b"4\r\ndone\r\n0\r\nX-T: 1\r\n\r\n"))
    async with entry.run(backend):
        received, _, body = await call(entry)
    assert (received, body) == (200, b"done")
