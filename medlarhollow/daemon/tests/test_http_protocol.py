"""Limits of request heads, pipelining and disconnects of callers."""

import asyncio
import contextlib
import json

import pytest

from medlarhollow.daemon.http import HttpServer
from medlarhollow.entry.tests.fakes import eventually
from medlarhollow.entry.tests.fakes import make_settings
from medlarhollow.localfleet.ports import free_addresses


async def read_all(receive):
    while (message := await receive())["type"] == "http.request":
        if not message["more_body"]:
            return


async def send_no_content(send):
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


@contextlib.asynccontextmanager
async def serve(app, **entry):
    """Run an HTTP server; yield a function that connects to it."""
    address = free_addresses(1)[0]
    settings = make_settings(address, **entry)
    server = HttpServer(app, address, 1.0, settings.entry)
    stop = asyncio.Event()
    task = asyncio.create_task(server.serve_until(stop))
    while not server.started:
        await asyncio.sleep(0.005)

    async def connect(data):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        return reader, writer

    try:
        yield connect
    finally:
        stop.set()
        await task


async def plain_app(scope, receive, send):
    await read_all(receive)
    await send_no_content(send)


def check_refusal(data, status):
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), data
    assert b"x-medlarhollow-outcome: not-run" in head
    assert json.loads(body)["outcome"] == "not-run"


HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize(
    "chunks",
    [
        [HEAD + b"A: " + b"x" * 5000 + b"\r\n\r\n"],
        [HEAD, *[b"A%d: %s\r\n" % (i, b"x" * 90) for i in range(60)]],
        [HEAD + b"A: ", *[b"x" * 500] * 12],
        [b"GET /" + b"x" * 5000 + b" HTTP/1.1\r\n\r\n"],
    ],
)
async def test_large_head_is_refused(chunks):
    """Guards memory against endless heads, sent at once or in chunks."""
    async with serve(plain_app, header_limit_bytes=4096) as connect:
        reader, writer = await connect(b"")
        for chunk in chunks:
            writer.write(chunk)
            await asyncio.sleep(0.002)
        check_refusal(await reader.read(), 431)
        writer.close()


async def test_small_heads_on_one_connection_are_served():
    """The size limit must apply to each head, not to the connection."""
    async with serve(plain_app, header_limit_bytes=4096) as connect:
        reader, writer = await connect(b"")
        for _ in range(20):
            writer.write(HEAD + b"A: " + b"x" * 3000 + b"\r\n\r\n")
            assert b" 204 " in await reader.readuntil(b"\r\n\r\n")
        writer.close()


@pytest.mark.parametrize("first", [b"", HEAD])
async def test_slow_head_is_refused(first):
    """Guards against callers that never complete a head, on a new connection
    or after a request."""
    async with serve(plain_app, head_timeout_s=0.2) as connect:
        reader, writer = await connect(first)
        data = await reader.read()
        if first:
            check_refusal(data, 408)
        else:
            assert data == b""
        reader, writer = await connect(HEAD + b"\r\n")
        assert b" 204 " in await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD)
        check_refusal(await reader.read(), 408)
        writer.close()


async def test_malformed_head_is_refused():
    """Every refusal must state its outcome."""
    async with serve(plain_app) as connect:
        reader, writer = await connect(b"nonsense\r\n\r\n")
        check_refusal(await reader.read(), 400)
        writer.close()


async def test_malformed_body_aborts_the_connection():
    """Guards invariant 9: a request that may be running must not be reported
    as "not run" because its body is malformed."""
    received = []

    async def app(scope, receive, send):
        received.append(await receive())
        await read_all(receive)

    async with serve(app) as connect:
        reader, writer = await connect(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n2\r\nab\r\n"
        )
        await eventually(lambda: received)
        writer.write(b"zz\r\n")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def test_running_request_is_notified_of_disconnect():
    """Guards capacity: a running request must be notified of a disconnect
    even while a second one is queued in the pipeline."""
    running, disconnected = [], []

    async def app(scope, receive, send):
        await read_all(receive)
        running.append(scope["path"])
        disconnected.append((await receive())["type"])

    async with serve(app) as connect:
        _, writer = await connect(
            HEAD + b"\r\nPOST / HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: running)
        writer.close()
        await eventually(lambda: disconnected == ["http.disconnect"])


class GatedApp:
    """Application whose responses wait until the test releases them."""

    def __init__(self):
        self.started = []
        self.gates = {}

    def gate(self, path):
        return self.gates.setdefault(path, asyncio.Event())

    async def __call__(self, scope, receive, send):
        path = scope["path"]
        await read_all(receive)
        self.started.append(path)
        await self.gate(path).wait()
        body = path.encode()
        headers = [(b"content-length", b"%d" % len(body))]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


def make_request(method, path):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


async def read_response(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return (await reader.readexactly(length)).decode()


async def test_pipelined_safe_requests_run_concurrently():
    """Guards latency: a slow request must not delay the requests after it,
    and responses must keep the order of the requests."""
    app = GatedApp()
    async with serve(app) as connect:
        reader, writer = await connect(
            b"".join(make_request("GET", path) for path in ("/1", "/2", "/3"))
        )
        await eventually(lambda: app.started == ["/1", "/2", "/3"])
        app.gate("/3").set()
        app.gate("/2").set()
        await asyncio.sleep(0.02)
        app.gate("/1").set()
        assert [await read_response(reader) for _ in range(3)] == [
            "/1",
            "/2",
            "/3",
        ]
        writer.write(make_request("GET", "/1"))
        assert await read_response(reader) == "/1"
        writer.close()


async def test_pipelined_post_waits_for_earlier_responses():
    """Guards invariant 10: a caller resends requests that follow a response
    which closes the connection, so a POST must not run ahead of it."""
    app = GatedApp()
    async with serve(app) as connect:
        reader, writer = await connect(
            make_request("GET", "/1")
            + make_request("POST", "/order")
            + make_request("GET", "/2")
        )
        await eventually(lambda: app.started == ["/1"])
        await asyncio.sleep(0.02)
        assert app.started == ["/1"]
        app.gate("/1").set()
        assert await read_response(reader) == "/1"
        await eventually(lambda: "/order" in app.started)
        app.gate("/order").set()
        app.gate("/2").set()
        assert await read_response(reader) == "/order"
        assert await read_response(reader) == "/2"
        writer.close()


async def test_all_pipelined_requests_are_notified_of_disconnect():
    """Guards capacity: work for a disconnected caller must be cancelled."""
    disconnected = []

    async def app(scope, receive, send):
        await read_all(receive)
        await receive()
        disconnected.append(scope["path"])

    async with serve(app) as connect:
        _, writer = await connect(
            make_request("GET", "/1") + make_request("GET", "/2")
        )
        await asyncio.sleep(0.02)
        writer.close()
        await eventually(lambda: sorted(disconnected) == ["/1", "/2"])
