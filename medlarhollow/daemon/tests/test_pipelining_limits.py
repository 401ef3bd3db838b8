"""What one connection can make the process keep."""

import asyncio

import pytest

from medlarhollow.entry.tests.fakes import eventually
from medlarhollow.pacing import WorkPacer

from .test_http_protocol import GatedApp
from .test_http_protocol import make_request
from .test_http_protocol import read_all
from .test_http_protocol import read_response
from .test_http_protocol import serve

BLOCK = bytes(16384)
# What is buffered for one connection: 64 KiB of responses that wait for
# earlier ones, 64 KiB in the transport, the buffers of the system.
KEPT_BYTES = 8 * 2**20


class EndlessApp(GatedApp):
    """Answer ``/endless`` with a body without end."""

    def __init__(self):
        super().__init__()
        self.sent_bytes = 0

    async def __call__(self, scope, receive, send):
        if scope["path"] != "/endless":
            return await super().__call__(scope, receive, send)
        await read_all(receive)
        await send(
            {"type": "http.response.start", "status": 200, "headers": []}
        )
        while True:
            await send(
                {
                    "type": "http.response.body",
                    "body": BLOCK,
                    "more_body": True,
                }
            )
            self.sent_bytes += len(BLOCK)
            await asyncio.sleep(0)


async def test_response_behind_a_slow_one_is_not_kept_without_limit():
    """Guards memory against an endless response that waits for another."""
    app = EndlessApp()
    async with serve(app) as connect:
        reader, writer = await connect(
            make_request("GET", "/1") + make_request("GET", "/endless")
        )
        await eventually(lambda: app.sent_bytes)
        for _ in range(2000):
            await asyncio.sleep(0)
        assert app.sent_bytes < KEPT_BYTES
        kept_bytes = app.sent_bytes
        app.gate("/1").set()
        assert await read_response(reader) == "/1"
        await reader.readexactly(2 * KEPT_BYTES)
        assert app.sent_bytes > kept_bytes
        writer.close()


class LargeApp:
    """Answer each request with 64 KiB and the number of the request."""

    def __init__(self):
        self.started = 0

    async def __call__(self, scope, receive, send):
        self.started += 1
        await read_all(receive)
        body = 4 * BLOCK + scope["path"].encode()
        headers = [(b"content-length", b"%d" % len(body))]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_unread_responses_start_no_further_requests(method):
    """Guards memory against callers that send requests and read nothing."""
    app = LargeApp()
    count = 400
    requests = [make_request(method, f"/{i}") for i in range(count)]
    async with serve(app) as connect:
        reader, writer = await connect(b"".join(requests))
        await eventually(lambda: app.started)
        await asyncio.sleep(0.3)
        assert app.started * 4 * len(BLOCK) < KEPT_BYTES
        for i in range(count):
            assert (await read_response(reader)).strip("\0") == f"/{i}"
        assert app.started == count
        writer.close()


async def test_peer_that_reads_nothing_is_disconnected():
    """Guards memory against responses that stay unread for good."""
    app = LargeApp()
    async with serve(app, stall_timeout_s=0.3, keep_alive_s=0.3) as connect:
        connections = [
            await connect(make_request("GET", "/1") * 100) for _ in range(4)
        ]
        await eventually(lambda: app.started)
        for _, writer in connections:
            # A paused reader learns of the reset by writing.
            await eventually(
                lambda writer=writer: (
                    writer.write(b"\r\n") or writer.transport.is_closing()
                )
            )


async def test_eight_pipelined_orders_are_answered_in_order():
    """Guards invariant 10: orders of one connection run one after the other,
    each once."""
    app = GatedApp()
    paths = [f"/{i}" for i in range(8)]
    async with serve(app) as connect:
        reader, writer = await connect(
            b"".join(make_request("POST", path) for path in paths)
        )
        for number, path in enumerate(paths):
            await eventually(lambda path=path: path in app.started)
            assert app.started == paths[: number + 1]
            app.gate(path).set()
            assert await read_response(reader) == path
        writer.close()


class RefusingApp:
    """Refuse all requests except those to ``/sound``."""

    async def __call__(self, scope, receive, send):
        if scope["path"] != "/none":
            await read_all(receive)
        status = 204 if scope["path"] == "/sound" else 401
        headers = [(b"content-length", b"0")] if status == 401 else []
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": b""})


async def test_refused_pipelined_requests_are_all_answered():
    """Guards callers whose refused requests are delayed."""
    async with serve(RefusingApp()) as connect:
        reader, writer = await connect(
            make_request("GET", "/") * 60 + make_request("GET", "/sound")
        )
        for _ in range(60):
            assert b" 401 " in await reader.readuntil(b"\r\n\r\n")
        assert b" 204 " in await reader.readuntil(b"\r\n\r\n")
        writer.close()


def test_refusals_of_all_connections_share_one_rate():
    """Guards the turns of other callers against many refused connections."""
    pacer = WorkPacer()
    delays = [pacer.reserve(0.005, 10.0) for _ in range(100)]
    assert delays == sorted(delays)
    assert delays[-1] - delays[0] == pytest.approx(99 * delays[0])
    assert pacer.reserve(0.005, 20.0) == pytest.approx(delays[0])
    assert max(pacer.reserve(0.005, 20.0) for _ in range(10_000)) <= 5.0


class CountingApp:
    """Count the bytes of bodies."""

    def __init__(self):
        self.received_bytes = 0

    async def __call__(self, scope, receive, send):
        while (message := await receive())["type"] == "http.request":
            self.received_bytes += len(message["body"])
            if not message["more_body"]:
                break
        await send(
            {"type": "http.response.start", "status": 204, "headers": []}
        )
        await send({"type": "http.response.body", "body": b""})


async def test_body_in_chunks_of_a_byte_is_received_whole():
    """Guards uploads that are delayed for the size of their chunks."""
    app = CountingApp()
    async with serve(app) as connect:
        reader, writer = await connect(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 3000
            + b"0\r\n\r\n"
            + make_request("GET", "/next")
        )
        for _ in range(2):
            assert b" 204 " in await reader.readuntil(b"\r\n\r\n")
        assert app.received_bytes == 3000
        writer.close()


async def test_body_that_goes_on_after_its_response_ends_the_connection():
    """Guards the turns of others against bodies that nobody waits for, and
    the response that was sent."""
    async with serve(RefusingApp()) as connect:
        reader, writer = await connect(
            b"POST /none HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 99999999\r\n\r\n"
        )
        writer.write(BLOCK)
        await asyncio.sleep(0.05)
        writer.write(20 * BLOCK)
        data = await asyncio.wait_for(reader.read(), 3.0)
        assert b" 401 " in data
        writer.close()
