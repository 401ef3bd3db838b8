"""Requests whose end a parser may see elsewhere than their sender."""

import asyncio
import contextlib

import pytest

from .test_http_protocol import serve

HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
UPGRADE = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(HIDDEN)
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"%x\r\n%b\r\n0\r\n\r\n" % (len(HIDDEN), HIDDEN)
LAST = b"GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class RecordingApp:
    """Record method, path and body of each request that is complete."""

    def __init__(self):
        self.requests = []

    async def __call__(self, scope, receive, send):
        body = b""
        more = True
        while more:
            message = await receive()
            if message["type"] != "http.request":
                return
            body += message["body"]
            more = message["more_body"]
        self.requests.append((scope["method"], scope["path"], body))
        headers = [(b"content-length", b"2")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b"ok"})


async def send_in_pieces(connect, pieces):
    """Send pieces one after the other; return all that is received."""
    reader, writer = await connect(b"")
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0.05)
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    return received


def make_head(method, *headers):
    return b"%b /first HTTP/1.1\r\nHost: x\r\n%b\r\n" % (
        method,
        b"".join(headers),
    )


@pytest.mark.parametrize("whole", [True, False], ids=["whole", "in pieces"])
@pytest.mark.parametrize(
    ("method", "headers", "sent", "body"),
    [
        (b"POST", [LENGTH], HIDDEN, HIDDEN),
        (b"POST", [CHUNKED], CHUNKS, HIDDEN),
        (b"GET", [LENGTH], HIDDEN, HIDDEN),
        (b"POST", [b"Content-Length: 0\r\n"], b"", b""),
        (b"GET", [], b"", b""),
    ],
)
async def test_body_behind_a_head_with_upgrade_is_no_request(
    method, headers, sent, body, whole
):
    """Guards against a body that is read, and runs, as the next request."""
    app = RecordingApp()
    pieces = [make_head(method, UPGRADE, *headers), sent, LAST]
    if whole:
        pieces = [b"".join(pieces)]
    async with serve(app) as connect:
        received = await send_in_pieces(connect, pieces)
    assert app.requests == [
        (method.decode(), "/first", body),
        ("GET", "/last", b""),
    ]
    assert received.count(b"HTTP/1.1 200 ") == 2


async def test_request_behind_an_upgrade_that_closes_does_not_run():
    """Guards against a request that its sender takes for unread."""
    app = RecordingApp()
    closing = b"Connection: Upgrade, close\r\nUpgrade: h2c\r\n"
    head = make_head(b"POST", closing, LENGTH)
    async with serve(app) as connect:
        reader, writer = await connect(head + HIDDEN + LAST)
        with contextlib.suppress(ConnectionResetError):
            async with asyncio.timeout(5):
                await reader.read()
        writer.close()
    assert all(path == "/first" for _, path, _ in app.requests)


@pytest.mark.parametrize(
    "request_head",
    [
        make_head(b"POST", LENGTH, CHUNKED),
        make_head(b"POST", LENGTH, b"Content-Length: 7\r\n"),
        make_head(b"POST", LENGTH, LENGTH),
        make_head(b"POST", b"Content-Length: 7, 7\r\n"),
        make_head(b"POST", b"Content-Length: +7\r\n"),
        make_head(b"POST", b"Content-Length : 7\r\n"),
        make_head(b"POST", b"Transfer-Encoding: identity\r\n"),
        make_head(b"POST", b"Transfer-Encoding: chunked, identity\r\n"),
        make_head(b"POST", b"Transfer-Encoding : chunked\r\n"),
        make_head(b"POST", UPGRADE, LENGTH, CHUNKED),
        make_head(b"POST", LENGTH).replace(b"\r\n", b"\n"),
        make_head(b"GET", b"A: b\r\n folded: c\r\n"),
        b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n",
        b"CONNECT / HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
)
async def test_ambiguous_end_of_a_request_is_refused(request_head):
    """Guards against bytes that one side takes for a body and the other for
    a request."""
    app = RecordingApp()
    async with serve(app) as connect:
        received = await send_in_pieces(
            connect, [request_head + HIDDEN + LAST]
        )
    assert app.requests == []
    assert received.startswith(b"HTTP/1.1 400 ")
    assert received.count(b"HTTP/1.1 ") == 1


@pytest.mark.parametrize(
    "body",
    [
        b"zz\r\n",
        b"5\nhello\n0\n\n",
        b"5\r\nhelloX0\r\n\r\n",
        b"-5\r\nhello\r\n0\r\n\r\n",
        b"5;\n\r\nhello\r\n0\r\n\r\n",
    ],
)
async def test_broken_chunks_end_the_connection(body):
    """Guards against bytes behind a broken body that run as a request."""
    app = RecordingApp()
    async with serve(app) as connect:
        reader, writer = await connect(make_head(b"POST", CHUNKED) + body)
        writer.write(HIDDEN + LAST)
        async with asyncio.timeout(5):
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
        writer.close()
    assert app.requests == []
