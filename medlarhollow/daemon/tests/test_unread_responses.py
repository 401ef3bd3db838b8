"""Complete responses that the peer has not read when its connection ends."""

import asyncio
import contextlib

import pytest
import uvloop

from medlarhollow.daemon.http import HttpServer
from medlarhollow.entry.tests.fakes import connect_narrowly
from medlarhollow.entry.tests.fakes import eventually
from medlarhollow.entry.tests.fakes import make_settings
from medlarhollow.localfleet.ports import free_addresses

from .test_http_protocol import HEAD
from .test_http_protocol import make_request
from .test_http_protocol import read_all

LATE_S = 0.6
# More than the buffers of the client take.
SIZE = 200_000
ORDER = make_request("POST", "/1")
LOOKUP = make_request("GET", "/2")
CLOSING = b"POST /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
BODY = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy],
    ids=["asyncio", "uvloop"],
)
def event_loop_policy(request):
    """Event loop of the standard library, and that of the daemon."""
    return request.param()


async def respond_to_one(scope, receive, send):
    """Answer one path; start the response to others and never end it."""
    is_answered = scope["path"] == "/1"
    if is_answered:
        await read_all(receive)
    headers = [(b"content-length", b"%d" % SIZE)]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    if is_answered:
        await send({"type": "http.response.body", "body": bytes(SIZE)})
        return
    while (await receive())["type"] != "http.disconnect":
        pass


@contextlib.asynccontextmanager
async def serve(**entry):
    """Run a server with a short time limit for stops; yield it."""
    address = free_addresses(1)[0]
    server = HttpServer(
        respond_to_one, address, 0.2, make_settings(address, **entry).entry
    )
    server.address = address
    server.stop = asyncio.Event()
    task = asyncio.create_task(server.serve_until(server.stop))
    await eventually(lambda: server.started)
    try:
        yield server
    finally:
        server.stop.set()
        await task


async def check_response(reader):
    """Read a complete response and the end of the connection."""
    async with asyncio.timeout(3.0):
        await reader.readuntil(b"\r\n\r\n")
        assert len(await reader.readexactly(SIZE)) == SIZE
        rest = await reader.read()
        while received := await reader.read(65536):
            rest += received
    # What follows was never complete.
    assert len(rest) < SIZE


async def test_unread_response_survives_a_malformed_body():
    """Guards a response against a bad body behind it."""
    async with serve() as server:
        reader, writer = await connect_narrowly(server.address, ORDER + BODY)
        await asyncio.sleep(0.1)
        writer.write(b"zz\r\n")
        await asyncio.sleep(LATE_S)
        await check_response(reader)
        writer.close()


@pytest.mark.parametrize("count", [1, 40])
async def test_unread_response_survives_requests_after_a_close(count):
    """Guards the last response of a connection against requests that cross
    its close, some of which wait in the system."""
    async with serve() as server:
        reader, writer = await connect_narrowly(server.address, CLOSING)
        await asyncio.sleep(0.1)
        writer.write(LOOKUP * count)
        await asyncio.sleep(LATE_S)
        await check_response(reader)
        writer.close()


async def test_unread_response_survives_an_idle_close():
    """Guards a response against a request that crosses the close of an idle
    connection."""
    async with serve(keep_alive_s=0.2) as server:
        reader, writer = await connect_narrowly(server.address, ORDER)
        await asyncio.sleep(0.4)
        writer.write(LOOKUP)
        await asyncio.sleep(LATE_S)
        await check_response(reader)
        writer.close()


@pytest.mark.parametrize("rest", [b"", LOOKUP], ids=["idle", "running"])
async def test_unread_response_survives_a_stop(rest):
    """Guards a response against a stop, also if a request behind it
    outlasts the time limit."""
    async with serve() as server:
        reader, writer = await connect_narrowly(server.address, ORDER + rest)
        await asyncio.sleep(0.1)
        server.stop.set()
        await asyncio.sleep(0.15)
        writer.write(LOOKUP)
        await asyncio.sleep(LATE_S)
        await check_response(reader)
        writer.close()
    assert (server.aborted > 0) == bool(rest)


async def test_slow_reader_receives_the_last_response_whole():
    """Guards a response whose peer takes longer than the linger time, and
    sends a request meanwhile."""
    async with serve() as server:
        reader, writer = await connect_narrowly(server.address, CLOSING)
        await reader.readuntil(b"\r\n\r\n")
        received = 0
        for number in range(20):
            received += len(await reader.readexactly(SIZE // 20))
            await asyncio.sleep(0.12)
            if number == 13:
                writer.write(LOOKUP)
        assert received == SIZE
        writer.close()
