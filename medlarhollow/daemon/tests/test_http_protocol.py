"""Connections of callers: size, speed and order of request heads."""

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


async def answer(send):
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


@contextlib.asynccontextmanager
async def serve(app, **entry):
    """Run a front door; yield a function that connects to it."""
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


async def plain(scope, receive, send):
    await read_all(receive)
    await answer(send)


def check_refusal(data, status):
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), data
    assert b"x-medlarhollow-outcome: not-run" in head
    assert json.loads(body)["outcome"] == "not-run"


HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize(
    "parts",
    [
        [HEAD + b"A: " + b"x" * 5000 + b"\r\n\r\n"],
        [HEAD, *[b"A%d: %s\r\n" % (i, b"x" * 90) for i in range(60)]],
        [HEAD + b"A: ", *[b"x" * 500] * 12],
        [b"GET /" + b"x" * 5000 + b" HTTP/1.1\r\n\r\n"],
    ],
)
async def test_large_head_is_refused(parts):
    """Guards memory against heads without end, whole or in pieces."""
    async with serve(plain, header_limit_bytes=4096) as connect:
        reader, writer = await connect(b"")
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.002)
        check_refusal(await reader.read(), 431)
        writer.close()


async def test_small_heads_on_one_connection_are_served():
    """Guards kept connections against a limit that adds up over requests."""
    async with serve(plain, header_limit_bytes=4096) as connect:
        reader, writer = await connect(b"")
        for _ in range(20):
            writer.write(HEAD + b"A: " + b"x" * 3000 + b"\r\n\r\n")
            assert b" 204 " in await reader.readuntil(b"\r\n\r\n")
        writer.close()


@pytest.mark.parametrize("first", [b"", HEAD])
async def test_slow_head_is_cut_off(first):
    """Guards connections against callers that never send a whole head, at
    first and after a request."""
    async with serve(plain, head_timeout_s=0.2) as connect:
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
    """Guards the promise that each refusal names its outcome."""
    async with serve(plain) as connect:
        reader, writer = await connect(b"nonsense\r\n\r\n")
        check_refusal(await reader.read(), 400)
        writer.close()


async def test_malformed_body_aborts():
    """Guards invariant 9: a request that may be running is not answered
    with "not run" when its body turns out malformed."""
    seen = []

    async def app(scope, receive, send):
        seen.append(await receive())
        await read_all(receive)

    async with serve(app) as connect:
        reader, writer = await connect(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n2\r\nab\r\n"
        )
        await eventually(lambda: seen)
        writer.write(b"zz\r\n")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def test_running_request_hears_that_a_pipelining_caller_left():
    """Guards capacity: with a second request waiting in the pipeline, the
    first one must still be told of the disconnect."""
    running, gone = [], []

    async def app(scope, receive, send):
        await read_all(receive)
        running.append(scope["path"])
        gone.append((await receive())["type"])

    async with serve(app) as connect:
        _, writer = await connect(
            HEAD + b"\r\nPOST / HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: running)
        writer.close()
        await eventually(lambda: gone == ["http.disconnect"])


class Steps:
    """Application whose answers the test lets go one by one."""

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


def pipelined(method, path):
    return f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


async def read_answer(reader):
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return (await reader.readexactly(length)).decode()


async def test_pipelined_lookups_run_side_by_side():
    """Guards latency: a slow answer must not delay the work behind it, and
    answers keep the order of their requests."""
    app = Steps()
    async with serve(app) as connect:
        reader, writer = await connect(
            b"".join(pipelined("GET", path) for path in ("/1", "/2", "/3"))
        )
        await eventually(lambda: app.started == ["/1", "/2", "/3"])
        app.gate("/3").set()
        app.gate("/2").set()
        await asyncio.sleep(0.02)
        app.gate("/1").set()
        assert [await read_answer(reader) for _ in range(3)] == [
            "/1",
            "/2",
            "/3",
        ]
        writer.write(pipelined("GET", "/1"))
        assert await read_answer(reader) == "/1"
        writer.close()


async def test_pipelined_order_waits_for_the_answers_before_it():
    """Guards invariant 10: a caller sends requests again that stand behind
    an answer which closes the connection."""
    app = Steps()
    async with serve(app) as connect:
        reader, writer = await connect(
            pipelined("GET", "/1")
            + pipelined("POST", "/order")
            + pipelined("GET", "/2")
        )
        await eventually(lambda: app.started == ["/1"])
        await asyncio.sleep(0.02)
        assert app.started == ["/1"]
        app.gate("/1").set()
        assert await read_answer(reader) == "/1"
        await eventually(lambda: "/order" in app.started)
        app.gate("/order").set()
        app.gate("/2").set()
        assert await read_answer(reader) == "/order"
        assert await read_answer(reader) == "/2"
        writer.close()


async def test_every_pipelined_request_hears_that_its_caller_left():
    """Guards capacity: work for a caller that left is given up."""
    gone = []

    async def app(scope, receive, send):
        await read_all(receive)
        await receive()
        gone.append(scope["path"])

    async with serve(app) as connect:
        _, writer = await connect(
            pipelined("GET", "/1") + pipelined("GET", "/2")
        )
        await asyncio.sleep(0.02)
        writer.close()
        await eventually(lambda: sorted(gone) == ["/1", "/2"])
