"""Headers of another front end, and answers that cannot be trusted."""

import asyncio
import socket
import struct

import attrs
import pytest

from medlarhollow.entry import Dialect
from medlarhollow.steering import ServerLoad

from .stand_ins import answer
from .stand_ins import Backend
from .stand_ins import Front

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
SEAL = "X-Seal: 1\r\n"


async def call(front, path="/open/7", method="GET", **headers):
    front.vm.dialect = DIALECT
    return await front.call(path, method, key=False, headers=headers)


async def test_server_learns_account_and_its_own_name():
    """Guards invariant 4, and servers that took over an address."""
    backend = Backend(answer(headers=SEAL))
    front = Front()
    async with front.run(backend):
        status, _, _ = await call(
            front,
            "/plots/7",
            Authorization=f"Token {front.key}",
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
async def test_request_that_did_not_run_goes_elsewhere(
    status, headers, method
):
    """Guards orders: they may be sent again where the server promises that
    they did not run, and only there."""
    first = Backend(answer(status=status, headers=headers))
    second = Backend(answer(headers=SEAL))
    front = Front()
    async with front.run(first, second):
        path = "/open/7" if method == "GET" else "/post"
        got, _, _ = await call(front, path, method)
    assert got == 200
    assert len(first.requests) == len(second.requests) == 1


async def test_refusal_of_all_servers_is_a_true_promise():
    """Guards invariant 9."""
    backend = Backend(answer(status="503 Full", headers="X-Not-Run: 1\r\n"))
    front = Front()
    async with front.run(backend):
        status, headers, _ = await call(front, "/post", "POST")
    assert status == 503
    assert headers["x-medlarhollow-outcome"] == "not-run"


@pytest.mark.parametrize("headers", ["", SEAL + "X-Request-Id: other\r\n"])
async def test_untrusted_success_reaches_no_caller(headers):
    """Guards invariant 8: a success without a seal, and an answer to another
    request, are failures, and nothing more comes from their connection."""
    first = Backend(answer(body=b"wrong", headers=headers))
    second = Backend(answer(body=b"right", headers=SEAL))
    front = Front()
    async with front.run(first, second):
        status, _, body = await call(front, **{"X-Request-Id": "own"})
        assert (status, body) == (200, b"right")
        status, _, _ = await call(front, "/post", "POST")
    assert status in (200, 502)
    assert first.closed == len(first.requests)


async def test_reported_load_is_passed_on():
    front = Front()
    loads = []
    front.dispatcher.record_load = lambda assignment, load, now: loads.append(
        load
    )
    backend = Backend(answer(headers=SEAL + "X-Load: 3,1,8\r\n"))
    async with front.run(backend):
        await call(front)
    backend = Backend(answer(headers=SEAL + "X-Load: many\r\n"))
    front.dispatcher.servers.clear()
    async with front.run(backend):
        assert (await call(front))[0] == 200
    assert loads == [ServerLoad(3, 1, 8)]


async def reset_without_length(request, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nX-Seal: 1\r\n\r\npart of")
    await writer.drain()
    await asyncio.sleep(0.05)
    connection = writer.get_extra_info("socket")
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


async def test_answer_without_length_that_is_reset_is_cut():
    """Guards invariant 8: the end of a connection ends such an answer only
    if it is closed, not if it is reset."""
    front = Front()
    async with front.run(Backend(reset_without_length)):
        front.vm.dialect = DIALECT
        reader, writer = await front.connect(
            b"GET /open/7 HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def test_number_of_attempts_follows_the_route():
    """Guards a route's bound on the servers that one request reaches."""
    backends = [
        Backend(answer(status="503 Full", headers="X-Not-Run: 1\r\n"))
        for _ in range(4)
    ]
    front = Front()
    route = front.copy.state.routes[("", "/open")]
    front.copy.state.routes[("", "/open")] = attrs.evolve(route, attempts=2)
    async with front.run(*backends):
        await call(front)
    assert sum(len(backend.requests) for backend in backends) == 2
