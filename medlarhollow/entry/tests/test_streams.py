"""Answers, bodies and headers on their way to and from a server."""

import asyncio
import json
import time

import pytest

from .stand_ins import answer
from .stand_ins import Backend
from .stand_ins import eventually
from .stand_ins import Front


async def test_answers_and_bodies_are_streamed():
    """Guards memory and latency: the first part of a body must arrive
    before the last is sent, in both directions."""
    gate = asyncio.Event()

    async def behave(request, reader, writer):
        first = await reader.readuntil(b"first")
        assert first.endswith(b"first")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"5\r\nearly\r\n")
        gate.set()
        assert (await reader.readuntil(b"last")).endswith(b"last")
        writer.write(b"4\r\nlate\r\n0\r\n\r\n")
        await writer.drain()

    front = Front()
    async with front.run(Backend(behave)):
        reader, writer = await front.connect(
            b"POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nfirst"
        )
        await gate.wait()
        await reader.readuntil(b"early")
        writer.write(b"last")
        await reader.readuntil(b"late")
        writer.close()


async def test_large_body_is_not_held_in_memory():
    """Guards memory: a body above the limit passes in parts, whole."""
    backend = Backend(answer())
    front = Front(body_keep_bytes=1000)
    body = bytes(range(256)) * 4000
    async with front.run(backend):
        status, _, _ = await front.call("/plots", "PUT", data=body)
        assert status == 200
        assert backend.requests[0].body == body


async def test_slow_reader_is_cut_off():
    """Guards slots against a caller that takes nothing of its answer."""
    backend = Backend(answer(b"x" * 30_000_000))
    front = Front(stall_timeout_s=0.3)
    async with front.run(backend):
        _, writer = await front.connect(
            b"GET /open HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: front.dispatcher.released, 5.0)
        writer.close()


async def test_headers_of_the_answer_are_filtered():
    """Guards cookies, framing and outcomes: repeated headers are kept,
    hop-by-hop ones and a forged outcome are dropped."""
    headers = (
        "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: x-hop\r\n"
        "X-Hop: 1\r\nKeep-Alive: 5\r\nX-Medlarhollow-Outcome: not-run\r\n"
        "Location: http://elsewhere/\r\n"
    )
    front = Front()
    async with front.run(Backend(answer(b"", "302 Found", headers))):
        for _ in range(2):
            status, got, _ = await front.call()
            assert status == 302
            assert got.getall("set-cookie") == ["a=1", "b=2"]
            assert got["location"] == "http://elsewhere/"
            assert not {"x-hop", "keep-alive", "x-medlarhollow-outcome"} & {
                name.lower() for name in got
            }


async def test_cookies_of_one_caller_reach_no_other():
    """Guards accounts: the HTTP client must not keep cookies."""
    backend = Backend(answer(b"", headers="Set-Cookie: session=1\r\n"))
    front = Front()
    async with front.run(backend):
        await front.call()
        await front.call()
    assert b"session" not in backend.requests[1].head


async def test_deadline_and_request_id_are_passed_on():
    """Guards deadline propagation and tracing: the remaining time is passed
    on, bounded by the route, and the caller's identifier is kept."""
    backend = Backend(answer())
    front = Front()
    async with front.run(backend):
        _, headers, _ = await front.call(
            headers={"x-deadline-ms": "900000", "x-request-id": "crew-7"}
        )
        assert headers["x-request-id"] == "crew-7"
        _, headers, _ = await front.call(headers={"x-request-id": "a b"})
        assert len(headers["x-request-id"]) == 36
    head = backend.requests[0].head.lower()
    assert b"x-request-id: crew-7\r\n" in head
    left = int(head.split(b"x-deadline-ms: ")[1].split(b"\r\n")[0])
    assert 1500 < left <= 2000


@pytest.mark.parametrize(
    ("path", "headers", "status", "error"),
    [
        ("/nowhere", {}, 404, "not_found"),
        ("/plots", {"x-medlarhollow-key": "mhk"}, 401, "unauthenticated"),
        ("/plots", {"x-deadline-ms": "x"}, 400, "bad_request"),
        ("/plots", {"x-deadline-ms": "0"}, 504, "deadline_exceeded"),
        ("/orders", {}, 400, "bad_request"),
        ("/orders", {"idempotency-key": "7"}, 400, "bad_request"),
        ("/v1/lookup", {}, 400, "bad_request"),
        ("/v1/lookup?service=none", {}, 404, "not_found"),
    ],
)
async def test_refusals_name_their_kind(path, headers, status, error):
    """Guards callers that decide on a resend: each refusal names its kind
    in the header and in the body, and nothing is sent."""
    backend = Backend(answer())
    front = Front()
    async with front.run(backend):
        got, answered, body = await front.call(path, headers=headers)
        assert got == status
        assert answered["x-medlarhollow-outcome"] == "not-run"
        assert json.loads(body)["error"] == error
        assert json.loads(body)["outcome"] == "not-run"
    assert not backend.requests


async def test_full_queue_refuses():
    """Guards memory: requests above the queue limit are refused at once."""
    backend = Backend(answer())
    front = Front(queue_limit=2)
    async with front.run(backend):
        front.dispatcher.gate.clear()
        waiting = [asyncio.create_task(front.call()) for _ in range(2)]
        await eventually(lambda: front.vm.waiting == 2)
        started = time.monotonic()
        status, headers, _ = await front.call()
        assert (status, headers["x-medlarhollow-outcome"]) == (503, "not-run")
        assert time.monotonic() - started < 1.0
        front.dispatcher.gate.set()
        assert [(await task)[0] for task in waiting] == [200, 200]
