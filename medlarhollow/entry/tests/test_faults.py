"""Tests of faults between caller and backend server."""

import asyncio

import aiohttp
import pytest

from .fakes import close_after_head
from .fakes import close_on_reuse
from .fakes import EntryHarness
from .fakes import eventually
from .fakes import FakeBackend
from .fakes import make_idempotency_key
from .fakes import never_respond
from .fakes import respond
from .fakes import truncate_body
from .fakes import truncate_chunks

# Nothing listens on port 1 of the loopback address.
CLOSED_ADDRESS = "127.0.0.1:1"


def respond_unavailable():
    return respond(b"busy", "503 Service Unavailable")


CASES = {
    # first server; status and outcome of idempotent, then of other requests
    "connection refused": (CLOSED_ADDRESS, 200, None, 200, None),
    "silent": (never_respond, 200, None, 502, "unknown"),
    "closes after the head": (close_after_head, 200, None, 502, "unknown"),
    "sheds load": (respond_unavailable(), 200, None, 503, None),
    "fails": (respond(b"", "500 Oops"), 500, None, 500, None),
    "garbage": (
        respond(b"", "garbage", "\x00: \r\n"),
        200,
        None,
        502,
        "unknown",
    ),
}


def make_first_server(behaviour):
    return behaviour if isinstance(behaviour, str) else FakeBackend(behaviour)


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_idempotent_request_is_retried_on_another_server(case):
    """Guards idempotent requests against one faulty server, and callers
    against a wrong outcome."""
    second = FakeBackend(respond(b"second"))
    entry = EntryHarness()
    async with entry.run(make_first_server(case[0]), second):
        status, headers, body = await entry.call()
        assert status == case[1], body
        assert headers.get("x-medlarhollow-outcome") == case[2]
        assert len(second.requests) == (case[1] == 200)
    assert len(entry.dispatcher.released) == entry.vm.queued + (
        1 + (case[1] == 200)
    )


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_non_idempotent_request_is_not_sent_twice(case, method):
    """Guards invariant 10: once a byte may have reached a server, the
    request must not go to another one; before that, it may."""
    second = FakeBackend(respond(b"second"))
    entry = EntryHarness()
    entry.add_route("/orders", timeout_s=0.5)
    async with entry.run(make_first_server(case[0]), second):
        status, headers, body = await entry.call(
            "/orders",
            method,
            headers={"idempotency-key": make_idempotency_key()},
            data=b"" if method == "GET" else b"cuttings",
        )
        assert status == case[3], body
        assert headers.get("x-medlarhollow-outcome") == case[4]
        assert len(second.requests) == (case[0] == CLOSED_ADDRESS)


async def test_unreachable_server_is_reported_as_not_run():
    """Guards invariant 9 in the other direction: a request that certainly
    did not run is reported as such, and its key is free again."""
    entry = EntryHarness()
    key = make_idempotency_key()
    backend = FakeBackend(respond(b"ordered"))
    async with entry.run(CLOSED_ADDRESS):
        status, headers, _ = await entry.order(key)
        assert (status, headers["x-medlarhollow-outcome"]) == (503, "not-run")
        async with backend:
            entry.dispatcher.servers = [backend.address]
            assert (await entry.order(key))[0] == 200


async def test_first_response_is_kept_without_another_server():
    """Guards a service with one server: the caller gets its response instead
    of a failed retry, and the server may use the whole deadline."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(respond_unavailable())):
        status, _, body = await entry.call()
        assert (status, body) == (503, b"busy")
    entry = EntryHarness()
    async with entry.run(FakeBackend(respond(b"slow", delay_s=1.3))):
        assert (await entry.call())[2] == b"slow"


@pytest.mark.parametrize("revoked", [False, True])
async def test_refusal_after_attempt_is_not_reported_as_not_run(revoked):
    """Guards invariant 9: if the first attempt may have run, neither a
    missing second server nor a revoked key may be reported as "not run"."""
    entry = EntryHarness()

    async def close(request, reader, writer):
        if revoked:
            entry.state_cache.state.keys.clear()
        return False

    servers = [FakeBackend(close)] + [FakeBackend(respond())] * revoked
    async with entry.run(*servers):
        status, headers, _ = await entry.call()
        assert (status, headers["x-medlarhollow-outcome"]) == (502, "unknown")


async def test_retries_stop_when_budget_is_spent():
    """Guards against a retry storm: once the budget is spent, failures are
    returned to the caller."""
    first, second = FakeBackend(respond_unavailable()), FakeBackend(respond())
    entry = EntryHarness()
    async with entry.run(first, second):
        while entry.vm.retry_budget.try_consume("plots"):
            pass
        assert [(await entry.call())[0] for _ in range(5)] == [503] * 5
    assert len(second.requests) == 0


@pytest.mark.parametrize("behaviour", [truncate_body, truncate_chunks])
@pytest.mark.parametrize("path", ["/plots", "/orders"])
async def test_truncated_response_aborts_connection(behaviour, path):
    """Guards invariant 8: a truncated response must not seem complete to the
    caller, and its backend connection must not be reused."""
    backend = FakeBackend(behaviour)
    entry = EntryHarness()
    headers = {"idempotency-key": make_idempotency_key()}
    async with entry.run(backend):
        with pytest.raises(aiohttp.ClientError):
            await entry.call(path, headers=headers)
        await eventually(lambda: backend.closed == 1)
        assert entry.dispatcher.released == ["error"]


async def test_truncated_response_resets_http_1_0_caller():
    """Guards callers of HTTP/1.0, for which a regular close of the
    connection ends the response: they must see a reset."""
    entry = EntryHarness()
    async with entry.run(FakeBackend(truncate_chunks)):
        reader, writer = await entry.connect(b"GET /open HTTP/1.0\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def test_late_response_is_discarded():
    """Guards invariant 8: a response that arrives after the caller's deadline
    must be discarded with its connection."""

    async def behaviour(request, reader, writer):
        if b"/plots/slow" in request.head:
            await asyncio.sleep(0.6)
            return await respond(b"late")(request, reader, writer)
        return await respond(b"own")(request, reader, writer)

    backend = FakeBackend(behaviour)
    entry = EntryHarness()
    async with entry.run(backend):
        status, headers, _ = await entry.call(
            "/plots/slow", headers={"x-deadline-ms": "300"}
        )
        assert status == 502
        assert headers["x-medlarhollow-outcome"] == "unknown"
        for _ in range(20):
            assert (await entry.call())[2] == b"own"
            await asyncio.sleep(0.03)
        slow = backend.requests[0].connection
        later = {request.connection for request in backend.requests[1:]}
        assert slow not in later


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
@pytest.mark.parametrize("path", ["/orders", "/post"])
async def test_closed_keep_alive_connection_causes_no_repeat(method, path):
    """Guards invariant 10 against the HTTP client, which retries a request
    by itself if a keep-alive connection turns out to be closed."""
    backend = FakeBackend(close_on_reuse(respond()))
    entry = EntryHarness()
    async with entry.run(backend):
        assert (await entry.call("/plots"))[0] == 200
        for number in range(2, 4):
            headers = {"idempotency-key": make_idempotency_key()}
            status, _, _ = await entry.call(path, method, headers=headers)
            assert status == 200
            assert len(backend.requests) == number


@pytest.mark.parametrize("requests", [1, 4])
async def test_lost_connection_causes_no_request_beyond_the_retry_budget(
    requests,
):
    """Guards servers against requests that no limit counts."""

    async def behaviour(request, reader, writer):
        return b"/lost" not in request.head and await respond()(
            request, reader, writer
        )

    backend = FakeBackend(behaviour)
    entry = EntryHarness()
    async with entry.run(backend):
        assert (await entry.call())[0] == 200
        while entry.vm.retry_budget.try_consume("plots"):
            pass
        for _ in range(requests):
            assert (await entry.call("/plots/lost"))[0] == 502
    assert len(backend.requests) == 1 + requests


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
@pytest.mark.parametrize("path", ["/orders", "/post"])
async def test_lost_connection_causes_no_second_execution(method, path):
    """Guards invariant 10 against the HTTP client, which sends a request
    again by itself when its new connection is closed without a response."""
    backend = FakeBackend(close_after_head)
    entry = EntryHarness()
    async with entry.run(backend):
        headers = {"idempotency-key": make_idempotency_key()}
        status, headers, _ = await entry.call(path, method, headers=headers)
    assert status == 502
    assert headers["x-medlarhollow-outcome"] == "unknown"
    assert len(backend.requests) == 1


async def test_requests_after_a_lost_connection_use_new_ones():
    """Guards requests against the other idle connections to a server that
    dropped them."""
    lost = set()

    async def behaviour(request, reader, writer):
        if request.connection in lost:
            return False
        return await respond(delay_s=0.05)(request, reader, writer)

    backend = FakeBackend(behaviour)
    entry = EntryHarness()
    async with entry.run(backend):
        await asyncio.gather(*(entry.call() for _ in range(4)))
        lost |= {1, 2, 3, 4}
        assert (await entry.call())[0] == 502
        assert [(await entry.call())[0] for _ in range(4)] == [200] * 4


async def test_connections_are_reused():
    """Guards against a new connection for each idempotent request."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    async with entry.run(backend):
        for _ in range(5):
            await entry.call()
    assert backend.connections == 1


async def test_unresponsive_connections_are_replaced():
    """Guards against a network path that silently dropped its connections:
    after a time-out on one of them, the next request must use a new one."""
    unresponsive = set()

    async def behaviour(request, reader, writer):
        if request.connection in unresponsive:
            return await reader.read()
        return await respond(b"new", delay_s=0.1)(request, reader, writer)

    backend = FakeBackend(behaviour)
    entry = EntryHarness()
    entry.add_route("/plots", timeout_s=0.4, idempotent=True)
    async with entry.run(backend):
        await asyncio.gather(*(entry.call() for _ in range(4)))
        assert backend.connections == 4
        unresponsive |= {1, 2, 3, 4}
        assert (await entry.call())[0] == 502
        assert [(await entry.call())[0] for _ in range(4)] == [200] * 4
        assert backend.connections == 5
        await eventually(lambda: backend.closed == 4)


async def test_retiring_connections_keeps_running_responses():
    """Guards running responses when the connections to a server are
    retired."""

    async def behaviour(request, reader, writer):
        if b"/plots/silent" in request.head:
            return await reader.read()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst")
        await asyncio.sleep(0.8)
        writer.write(b"-last")
        return True

    entry = EntryHarness()
    entry.add_route("/plots", timeout_s=0.3, idempotent=True)
    async with entry.run(FakeBackend(behaviour)):
        running = asyncio.create_task(entry.call())
        await asyncio.sleep(0.1)
        assert (await entry.call("/plots/silent"))[0] == 502
        assert (await running)[2] == b"first-last"


async def test_disconnect_cancels_request():
    """Guards capacity: after a disconnect, slot and backend connection are
    released at once."""
    backend = FakeBackend(never_respond)
    entry = EntryHarness()
    async with entry.run(backend):
        _, writer = await entry.connect(
            b"GET /open HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: backend.requests)
        writer.close()
        await eventually(lambda: entry.dispatcher.released == ["cancelled"])
        await eventually(lambda: backend.closed == 1)


async def test_request_is_not_run_after_disconnect_in_queue():
    """Guards capacity: a request whose caller disconnects in the queue, after
    its body was sent, must reach no server."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    async with entry.run(backend):
        entry.dispatcher.gate.clear()
        _, writer = await entry.connect(
            b"POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
        )
        await eventually(lambda: entry.dispatcher.slot_requests)
        writer.close()
        await eventually(lambda: entry.vm.queued == 0)
        entry.dispatcher.gate.set()
        await asyncio.sleep(0.1)
        assert not backend.requests


async def test_request_is_not_run_after_deadline_in_queue():
    """Guards against work for a caller that no longer waits: the deadline
    passes in the queue."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    async with entry.run(backend):
        entry.dispatcher.gate.clear()
        calling = asyncio.create_task(
            entry.call(headers={"x-deadline-ms": "100"})
        )
        await asyncio.sleep(0.2)
        entry.dispatcher.gate.set()
        status, headers, _ = await calling
        assert (status, headers["x-medlarhollow-outcome"]) == (504, "not-run")
        assert not backend.requests
