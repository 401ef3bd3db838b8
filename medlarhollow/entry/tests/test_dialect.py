"""Tests of other header names and of untrusted backend responses."""

import asyncio
import socket
import struct

import attrs
import pytest

from medlarhollow.entry import Dialect
from medlarhollow.entry.dialect import read_load
from medlarhollow.messages.records import ErrorKind
from medlarhollow.steering import ServerLoad

from .fakes import EntryHarness
from .fakes import FakeBackend
from .fakes import respond

DIALECT = Dialect(
    key="authorization",
    key_scheme="Token",
    account="x-account",
    server="x-server",
    not_run="x-not-run",
    seal="x-seal",
    load="x-load",
    echoes_request_id=True,
)
SEAL_HEADER = "X-Seal: 1\r\n"


async def call(entry, path="/open/7", method="GET", **headers):
    entry.vm.dialect = DIALECT
    return await entry.call(path, method, key=False, headers=headers)


async def test_account_and_server_headers_are_set():
    """Guards invariant 4, and against requests to a server that took over
    the address of another one."""
    backend = FakeBackend(respond(headers=SEAL_HEADER))
    entry = EntryHarness()
    async with entry.run(backend):
        status, _, _ = await call(
            entry,
            "/plots/7",
            Authorization=f"Token {entry.key}",
            **{"X-Account": "forged", "X-Server": "forged"},
        )
        assert status == 200
    head = backend.requests[0].head.decode().lower()
    assert "x-account: crew\r\n" in head
    assert "x-server: " in head
    assert "forged" not in head
    assert "authorization" not in head


@pytest.mark.parametrize(
    ("status", "headers"),
    [("503 Full", "X-Not-Run: 1\r\n"), ("421 Misdirected", "")],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_request_that_did_not_run_is_retried(status, headers, method):
    """Guards non-idempotent requests: they may be retried only if the
    server reports that they did not run."""
    first = FakeBackend(respond(status=status, headers=headers))
    second = FakeBackend(respond(headers=SEAL_HEADER))
    entry = EntryHarness()
    async with entry.run(first, second):
        path = "/open/7" if method == "GET" else "/post"
        received_status, _, _ = await call(entry, path, method)
    assert received_status == 200
    assert len(first.requests) == len(second.requests) == 1


async def test_refusal_by_all_servers_is_not_run():
    """Guards invariant 9: refusal by every server is reported as not run."""
    backend = FakeBackend(
        respond(status="503 Full", headers="X-Not-Run: 1\r\n")
    )
    entry = EntryHarness()
    async with entry.run(backend):
        status, headers, _ = await call(entry, "/post", "POST")
    assert status == 503
    assert headers["x-medlarhollow-outcome"] == "not-run"


@pytest.mark.parametrize(
    "headers", ["", SEAL_HEADER + "X-Request-Id: other\r\n"]
)
async def test_untrusted_success_is_not_forwarded(headers):
    """Guards invariant 8: a success without a seal and a response to another
    request are failures, and their connections are not used again."""
    first = FakeBackend(respond(body=b"wrong", headers=headers))
    second = FakeBackend(respond(body=b"right", headers=SEAL_HEADER))
    entry = EntryHarness()
    async with entry.run(first, second):
        status, _, body = await call(entry, **{"X-Request-Id": "own"})
        assert (status, body) == (200, b"right")
        status, _, _ = await call(entry, "/post", "POST")
    assert status in (200, 502)
    assert first.closed == len(first.requests)


async def test_reported_load_reaches_dispatcher():
    entry = EntryHarness()
    loads = []
    entry.dispatcher.record_load = lambda assignment, load, now: loads.append(
        load
    )
    backend = FakeBackend(respond(headers=SEAL_HEADER + "X-Load: 3,1,8\r\n"))
    async with entry.run(backend):
        await call(entry)
    backend = FakeBackend(respond(headers=SEAL_HEADER + "X-Load: many\r\n"))
    entry.dispatcher.servers.clear()
    async with entry.run(backend):
        assert (await call(entry))[0] == 200
    assert loads == [ServerLoad(3, 1, 8)]


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,8", ServerLoad(3, 1, 8)),
        ("3, 1, 8, 250", ServerLoad(3, 1, 8, 2.5)),
        ("3,1,8,0", ServerLoad(3, 1, 8, 0.01)),
        ("3,1,8,fast", ServerLoad(3, 1, 8)),
        ("3,1,8,,7", ServerLoad(3, 1, 8)),
        ("3,1,8,90,idle", ServerLoad(3, 1, 8, 0.9)),
    ],
)
def test_load_report_is_read_as_far_as_it_is_known(text, load):
    """Guards servers that report more: their loads must not be lost."""
    assert read_load({"x-load": text}, DIALECT).ok_value == load


@pytest.mark.parametrize(
    "text", ["", "3,1", "3,,8", "3,1,-8", "3,1,\u0668", f"{'9' * 5000},1,8"]
)
def test_malformed_load_report_is_a_failure(text):
    """Guards against reports that end the request they came with."""
    result = read_load({"x-load": text}, DIALECT)
    assert result.err_value.kind is ErrorKind.BACKEND_FAILED


async def reset_without_length(request, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\n\r\npart of")
    await writer.drain()
    await asyncio.sleep(0.05)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


async def test_reset_of_response_without_length_is_detected():
    """Guards invariant 8: such a response ends with a regular close of the
    connection, but not with a reset."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(reset_without_length)):
        entry.vm.dialect = DIALECT
        reader, writer = await entry.connect(
            b"GET /open/7 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def test_route_limits_attempts():
    """Guards a route's limit of attempts per request."""
    backends = [
        FakeBackend(respond(status="503 Full", headers="X-Not-Run: 1\r\n"))
        for _ in range(4)
    ]
    entry = EntryHarness()
    route = entry.state_cache.state.routes[("", "/open")]
    entry.state_cache.state.routes[("", "/open")] = attrs.evolve(
        route, attempts=2
    )
    async with entry.run(*backends):
        await call(entry)
    assert sum(len(backend.requests) for backend in backends) == 2


HEAD_CUTS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nX-Seal: 1",
    b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\n",
    b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Le",
    b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 1",
    b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 10\r\n",
    b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nTransfer-Encoding: chunked\r\n",
    b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\nContent-Length: 0\r\n",
]


@pytest.mark.parametrize("head", HEAD_CUTS)
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("delay_s", [0.0, 0.05])
async def test_response_that_ends_within_its_head_is_no_success(
    head, method, delay_s
):
    """Guards invariant 8: the end of the connection ends no head."""

    async def cut_head(request, reader, writer):
        writer.write(head[:20])
        await writer.drain()
        await asyncio.sleep(delay_s)
        writer.write(head[20:])
        await writer.drain()

    entry = EntryHarness()
    async with entry.run(FakeBackend(cut_head)):
        path = "/open/7" if method == "GET" else "/post"
        status, headers, _ = await call(entry, path, method)
    assert status == 502
    assert headers["x-medlarhollow-outcome"] == "unknown"


def echo_request_id(request):
    [line] = [
        line
        for line in request.head.decode().split("\r\n")
        if line.lower().startswith("x-request-id:")
    ]
    return f"{line}\r\n"


@pytest.mark.parametrize("is_late", [False, True])
@pytest.mark.parametrize("path", ["/open/7", "/post"])
async def test_repeated_refusal_says_nothing_about_the_next_request(
    is_late, path
):
    """Guards invariant 9: a refusal that a server sends twice is not taken
    for the response to another request on the same connection."""
    refusals = []

    async def behaviour(request, reader, writer):
        if request.connection == 1 and len(refusals) < 2:
            refusal = (
                "HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Run: 1\r\n"
                f"{echo_request_id(request)}\r\n"
            ).encode()
            refusals.append(refusal)
            if len(refusals) == 1:
                writer.write(refusal if is_late else refusal * 2)
                return True
            writer.write(refusals[0])
        headers = SEAL_HEADER + echo_request_id(request)
        return await respond(headers=headers)(request, reader, writer)

    entry = EntryHarness()
    backend = FakeBackend(behaviour)
    async with entry.run(backend):
        assert (await call(entry))[0] == 503
        method = "GET" if path == "/open/7" else "POST"
        status, headers, body = await call(entry, path, method)
        if status == 200:
            assert body == b"done"
        else:
            assert status == 502
            assert headers["x-medlarhollow-outcome"] == "unknown"
    assert len(backend.requests) == 2


@pytest.mark.parametrize("location", ["path", "query", "header", "id", "body"])
async def test_text_like_a_key_is_forwarded_where_keys_have_another_form(
    location,
):
    """Guards the content of requests where the fleet issues no keys."""
    backend = FakeBackend(respond(headers=SEAL_HEADER))
    entry = EntryHarness()
    text = entry.key
    path, headers, body = "/open/7", {}, None
    match location:
        case "path":
            path = f"/open/{text}"
        case "query":
            path = f"/open/7?k={text}"
        case "header":
            headers = {"x-note": text}
        case "id":
            headers = {"x-request-id": text}
        case "body":
            body = f"a{text}b".encode()
    async with entry.run(backend):
        entry.vm.dialect = attrs.evolve(DIALECT, masks_keys=False)
        await entry.call(path, "PUT", key=False, headers=headers, data=body)
    received = backend.requests[0].head + backend.requests[0].body
    assert text.encode() in received
