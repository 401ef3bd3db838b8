"""Fault cases between the caller and a backend server."""

import asyncio

import aiohttp
import pytest

from .stand_ins import answer
from .stand_ins import Backend
from .stand_ins import close_after_head
from .stand_ins import close_kept
from .stand_ins import cut_body
from .stand_ins import cut_chunks
from .stand_ins import eventually
from .stand_ins import Front
from .stand_ins import make_idempotency_key
from .stand_ins import stay_silent

# Nothing listens on port 1 of the loopback address.
REFUSED = "127.0.0.1:1"


def unavailable():
    return answer(b"busy", "503 Service Unavailable")


CASES = {
    # first server, status and outcome for idempotent and other requests
    "connection refused": (REFUSED, 200, None, 200, None),
    "silent": (stay_silent, 200, None, 502, "unknown"),
    "closes after the head": (close_after_head, 200, None, 502, "unknown"),
    "sheds load": (unavailable(), 200, None, 503, None),
    "fails": (answer(b"", "500 Oops"), 500, None, 500, None),
    "garbage": (
        answer(b"", "garbage", "\x00: \r\n"),
        200,
        None,
        502,
        "unknown",
    ),
}


def make_first(behaviour):
    return behaviour if isinstance(behaviour, str) else Backend(behaviour)


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_idempotent_request_is_retried_elsewhere(case):
    """Guards lookups against one bad server, and the caller against an
    outcome that is not true."""
    second = Backend(answer(b"second"))
    front = Front()
    async with front.run(make_first(case[0]), second):
        status, headers, body = await front.call()
        assert status == case[1], body
        assert headers.get("x-medlarhollow-outcome") == case[2]
        assert len(second.requests) == (case[1] == 200)
    assert len(front.dispatcher.released) == front.vm.waiting + (
        1 + (case[1] == 200)
    )


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_other_requests_are_never_sent_twice(case, method):
    """Guards invariant 10: after a byte may have reached a server, no
    other server may get the request; before that, another one may."""
    second = Backend(answer(b"second"))
    front = Front()
    front.add_route("/orders", timeout_s=0.5)
    async with front.run(make_first(case[0]), second):
        status, headers, body = await front.call(
            "/orders",
            method,
            headers={"idempotency-key": make_idempotency_key()},
            data=b"" if method == "GET" else b"cuttings",
        )
        assert status == case[3], body
        assert headers.get("x-medlarhollow-outcome") == case[4]
        assert len(second.requests) == (case[0] == REFUSED)


async def test_request_to_no_reachable_server_did_not_run():
    """Guards invariant 9 in the other direction: where it is certain, the
    caller is told that it may try again, and the key is free again."""
    front = Front()
    key = make_idempotency_key()
    backend = Backend(answer(b"ordered"))
    async with front.run(REFUSED):
        status, headers, _ = await front.order(key)
        assert (status, headers["x-medlarhollow-outcome"]) == (503, "not-run")
        async with backend:
            front.dispatcher.servers = [backend.address]
            assert (await front.order(key))[0] == 200


async def test_retry_without_a_free_server_keeps_the_first_answer():
    """Guards a service with one server: its own answer goes to the caller
    instead of a failure to retry, and it may use the whole deadline."""
    front = Front()
    async with front.run(Backend(unavailable())):
        status, _, body = await front.call()
        assert (status, body) == (503, b"busy")
    front = Front()
    async with front.run(Backend(answer(b"slow", delay_s=1.3))):
        assert (await front.call())[2] == b"slow"


@pytest.mark.parametrize("revoked", [False, True])
async def test_refusal_after_an_attempt_is_not_called_not_run(revoked):
    """Guards invariant 9: when the first attempt may have run, neither a
    missing second server nor a key revoked meanwhile means "not run"."""
    front = Front()

    async def close(request, reader, writer):
        if revoked:
            front.copy.state.keys.clear()
        return False

    servers = [Backend(close)] + [Backend(answer())] * revoked
    async with front.run(*servers):
        status, headers, _ = await front.call()
        assert (status, headers["x-medlarhollow-outcome"]) == (502, "unknown")


async def test_retries_stop_with_the_budget():
    """Guards against a retry storm: with the budget spent, failures go to
    the caller."""
    first, second = Backend(unavailable()), Backend(answer())
    front = Front()
    async with front.run(first, second):
        while front.vm.budget.try_consume("plots"):
            pass
        assert [(await front.call())[0] for _ in range(5)] == [503] * 5
    assert len(second.requests) == 0


@pytest.mark.parametrize("behave", [cut_body, cut_chunks])
@pytest.mark.parametrize("path", ["/plots", "/orders"])
async def test_cut_answer_aborts_the_connection(behave, path):
    """Guards invariant 8: a cut answer must not seem whole to the caller,
    and its backend connection must not serve anyone else."""
    backend = Backend(behave)
    front = Front()
    headers = {"idempotency-key": make_idempotency_key()}
    async with front.run(backend):
        with pytest.raises(aiohttp.ClientError):
            await front.call(path, headers=headers)
        await eventually(lambda: backend.closed == 1)
        assert front.dispatcher.released == ["error"]


async def test_cut_answer_resets_an_old_caller():
    """Guards callers of HTTP/1.0, for whom the end of the connection is the
    end of the answer: they must see a reset."""
    front = Front()
    async with front.run(Backend(cut_chunks)):
        reader, writer = await front.connect(b"GET /open HTTP/1.0\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def test_late_answer_reaches_no_other_request():
    """Guards invariant 8: an answer after the caller's time-out must be
    thrown away with its connection."""

    async def behave(request, reader, writer):
        if b"/plots/slow" in request.head:
            await asyncio.sleep(0.6)
            return await answer(b"late")(request, reader, writer)
        return await answer(b"own")(request, reader, writer)

    backend = Backend(behave)
    front = Front()
    async with front.run(backend):
        status, headers, _ = await front.call(
            "/plots/slow", headers={"x-deadline-ms": "300"}
        )
        assert status == 502
        assert headers["x-medlarhollow-outcome"] == "unknown"
        for _ in range(20):
            assert (await front.call())[2] == b"own"
            await asyncio.sleep(0.03)
        slow = backend.requests[0].connection
        later = {request.connection for request in backend.requests[1:]}
        assert slow not in later


@pytest.mark.parametrize("method", ["PUT", "DELETE", "GET", "POST"])
@pytest.mark.parametrize("path", ["/orders", "/post"])
async def test_closed_kept_connection_repeats_nothing(method, path):
    """Guards invariant 10 against the HTTP client, which sends a request
    again by itself when a kept connection turns out to be closed."""
    backend = Backend(close_kept(answer()))
    front = Front()
    async with front.run(backend):
        assert (await front.call("/plots"))[0] == 200
        for number in range(2, 4):
            headers = {"idempotency-key": make_idempotency_key()}
            status, _, _ = await front.call(path, method, headers=headers)
            assert status == 200
            assert len(backend.requests) == number


async def test_kept_connections_are_used():
    """Guards against a new connection for each lookup."""
    backend = Backend(answer())
    front = Front()
    async with front.run(backend):
        for _ in range(5):
            await front.call()
    assert backend.connections == 1


async def test_silent_kept_connections_are_replaced():
    """Guards lookups against a path that has lost its connections: after one
    of them was silent, the next request must use a new one."""
    silent = set()

    async def behave(request, reader, writer):
        if request.connection in silent:
            return await reader.read()
        return await answer(b"new", delay_s=0.1)(request, reader, writer)

    backend = Backend(behave)
    front = Front()
    front.add_route("/plots", timeout_s=0.4, idempotent=True)
    async with front.run(backend):
        await asyncio.gather(*(front.call() for _ in range(4)))
        assert backend.connections == 4
        silent |= {1, 2, 3, 4}
        assert (await front.call())[0] == 502
        assert [(await front.call())[0] for _ in range(4)] == [200] * 4
        assert backend.connections == 5
        await eventually(lambda: backend.closed == 4)


async def test_retiring_connections_cuts_no_answer():
    """Guards running answers when the connections to a server are given
    up."""

    async def behave(request, reader, writer):
        if b"/plots/silent" in request.head:
            return await reader.read()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst")
        await asyncio.sleep(0.8)
        writer.write(b"-last")
        return True

    front = Front()
    front.add_route("/plots", timeout_s=0.3, idempotent=True)
    async with front.run(Backend(behave)):
        running = asyncio.create_task(front.call())
        await asyncio.sleep(0.1)
        assert (await front.call("/plots/silent"))[0] == 502
        assert (await running)[2] == b"first-last"


async def test_caller_that_leaves_cancels_the_request():
    """Guards capacity: the slot and the backend connection of a caller that
    left are given up at once."""
    backend = Backend(stay_silent)
    front = Front()
    async with front.run(backend):
        _, writer = await front.connect(
            b"GET /open HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: backend.requests)
        writer.close()
        await eventually(lambda: front.dispatcher.released == ["cancelled"])
        await eventually(lambda: backend.closed == 1)


async def test_caller_that_leaves_the_queue_is_not_run():
    """Guards capacity and truth: a caller that left while queued, with its
    body already sent, must reach no server."""
    backend = Backend(answer())
    front = Front()
    async with front.run(backend):
        front.dispatcher.gate.clear()
        _, writer = await front.connect(
            b"POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
        )
        await eventually(lambda: front.dispatcher.demands)
        writer.close()
        await eventually(lambda: front.vm.waiting == 0)
        front.dispatcher.gate.set()
        await asyncio.sleep(0.1)
        assert not backend.requests


async def test_deadline_in_the_queue_is_not_run():
    """Guards against work for a caller that has stopped waiting: the
    deadline passes in the queue."""
    backend = Backend(answer())
    front = Front()
    async with front.run(backend):
        front.dispatcher.gate.clear()
        calling = asyncio.create_task(
            front.call(headers={"x-deadline-ms": "100"})
        )
        await asyncio.sleep(0.2)
        front.dispatcher.gate.set()
        status, headers, _ = await calling
        assert (status, headers["x-medlarhollow-outcome"]) == (504, "not-run")
        assert not backend.requests
