"""Requests that fail behind others on the same connection."""

import asyncio

import pytest

from medlarhollow.entry.tests.fakes import eventually

from .test_http_protocol import check_refusal
from .test_http_protocol import GatedApp
from .test_http_protocol import HEAD
from .test_http_protocol import make_request
from .test_http_protocol import read_response
from .test_http_protocol import serve

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"


@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 400),
        (HEAD + b"A: " + b"x" * 5000 + b"\r\n\r\n", 431),
        (HEAD, 408),
    ],
    ids=["malformed", "unsupported", "large", "slow"],
)
async def test_refused_head_leaves_earlier_requests_alone(data, status, count):
    """Guards running orders against a bad head on their connection."""
    app = GatedApp()
    paths = [f"/{number}" for number in range(count)]
    orders = b"".join(make_request("POST", path) for path in paths)
    limits = {"header_limit_bytes": 4096, "head_timeout_s": 0.2}
    async with serve(app, **limits) as connect:
        reader, writer = await connect(orders + data)
        await eventually(lambda: app.started)
        await asyncio.sleep(0.3)
        for path in paths:
            app.gate(path).set()
            assert await read_response(reader) == path
        check_refusal(await reader.read(), status)
        writer.close()


@pytest.mark.parametrize("size", [0, 2**20])
async def test_data_after_a_refused_head_is_dropped(size):
    """Guards memory and the order before against data without end."""
    app = GatedApp()
    async with serve(app) as connect:
        reader, writer = await connect(
            make_request("POST", "/1") + b"nonsense\r\n\r\n" + bytes(size)
        )
        await eventually(lambda: app.started)
        await asyncio.sleep(0.05)
        app.gate("/1").set()
        assert await read_response(reader) == "/1"
        writer.close()


async def test_malformed_body_leaves_earlier_requests_alone():
    """Guards a running order against a bad body behind it, which may be
    running too and must get no response."""
    app = GatedApp()
    async with serve(app) as connect:
        reader, writer = await connect(make_request("POST", "/1") + CHUNKED)
        await eventually(lambda: app.started == ["/1"])
        writer.write(b"zz\r\n")
        await asyncio.sleep(0.05)
        app.gate("/1").set()
        assert await read_response(reader) == "/1"
        assert await reader.read() == b""
        writer.close()
