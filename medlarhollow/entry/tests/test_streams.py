"""Tests of streaming, header filtering and refusals."""

import asyncio
import json

import pytest

from medlarhollow import clock

from .fakes import EntryHarness
from .fakes import eventually
from .fakes import FakeBackend
from .fakes import respond


async def test_bodies_are_streamed():
    """Guards memory and latency: in both directions, the first part of a
    body must arrive before the last one is sent."""
    body_started = asyncio.Event()

    async def behaviour(request, reader, writer):
        first = await reader.readuntil(b"first")
        assert first.endswith(b"first")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"5\r\nearly\r\n")
        body_started.set()
        assert (await reader.readuntil(b"last")).endswith(b"last")
        writer.write(b"4\r\nlate\r\n0\r\n\r\n")
        await writer.drain()

    entry = EntryHarness()
    async with entry.run(FakeBackend(behaviour)):
        reader, writer = await entry.connect(
            b"POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nfirst"
        )
        await body_started.wait()
        await reader.readuntil(b"early")
        writer.write(b"last")
        await reader.readuntil(b"late")
        writer.close()


async def test_large_body_is_forwarded_in_chunks():
    """Guards memory: a body above the limit is streamed, unchanged."""
    backend = FakeBackend(respond())
    entry = EntryHarness(body_keep_bytes=1000)
    body = bytes(range(256)) * 4000
    async with entry.run(backend):
        status, _, _ = await entry.call("/plots", "PUT", data=body)
        assert status == 200
        assert backend.requests[0].body == body


async def test_stalled_caller_is_disconnected():
    """Guards slots against a caller that does not read its response."""
    backend = FakeBackend(respond(b"x" * 30_000_000))
    entry = EntryHarness(stall_timeout_s=0.3)
    async with entry.run(backend):
        _, writer = await entry.connect(
            b"GET /open HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: entry.dispatcher.released, 5.0)
        writer.close()


async def test_response_headers_are_filtered():
    """Guards cookies, framing and outcomes: repeated headers are kept,
    hop-by-hop headers and a forged outcome are removed."""
    headers = (
        "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: x-hop\r\n"
        "X-Hop: 1\r\nKeep-Alive: 5\r\nX-Medlarhollow-Outcome: not-run\r\n"
        "Location: http://elsewhere/\r\n"
    )
    entry = EntryHarness()
    async with entry.run(FakeBackend(respond(b"", "302 Found", headers))):
        for _ in range(2):
            status, received_headers, _ = await entry.call()
            assert status == 302
            assert received_headers.getall("set-cookie") == ["a=1", "b=2"]
            assert received_headers["location"] == "http://elsewhere/"
            assert not {"x-hop", "keep-alive", "x-medlarhollow-outcome"} & {
                name.lower() for name in received_headers
            }


async def test_cookies_are_not_shared_between_callers():
    """Guards callers from each other: the HTTP client must not keep
    cookies."""
    backend = FakeBackend(respond(b"", headers="Set-Cookie: session=1\r\n"))
    entry = EntryHarness()
    async with entry.run(backend):
        await entry.call()
        await entry.call()
    assert b"session" not in backend.requests[1].head


async def test_deadline_and_request_id_are_forwarded():
    """Guards deadline propagation and tracing: the remaining time, limited by
    the route, and the caller's request identifier are forwarded."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    async with entry.run(backend):
        _, headers, _ = await entry.call(
            headers={"x-deadline-ms": "900000", "x-request-id": "crew-7"}
        )
        assert headers["x-request-id"] == "crew-7"
        _, headers, _ = await entry.call(headers={"x-request-id": "a b"})
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
async def test_refusals_report_error_and_outcome(path, headers, status, error):
    """Guards callers that decide on a retry: each refusal reports its outcome
    in header and body and its error in the body, and nothing is sent."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    async with entry.run(backend):
        received_status, response_headers, body = await entry.call(
            path, headers=headers
        )
        assert received_status == status
        assert response_headers["x-medlarhollow-outcome"] == "not-run"
        assert json.loads(body)["error"] == error
        assert json.loads(body)["outcome"] == "not-run"
    assert not backend.requests


async def test_full_queue_rejects_requests():
    """Guards memory: requests above the queue limit are rejected at once."""
    backend = FakeBackend(respond())
    entry = EntryHarness(queue_limit=2)
    async with entry.run(backend):
        entry.dispatcher.gate.clear()
        queued_calls = [asyncio.create_task(entry.call()) for _ in range(2)]
        await eventually(lambda: entry.vm.queued == 2)
        started = clock.monotonic()
        status, headers, _ = await entry.call()
        assert (status, headers["x-medlarhollow-outcome"]) == (503, "not-run")
        assert clock.monotonic() - started < 1.0
        entry.dispatcher.gate.set()
        assert [(await task)[0] for task in queued_calls] == [200, 200]
