"""Non-idempotent requests: one execution for each idempotency key."""

import asyncio
import json

import aiohttp
import pytest

from medlarhollow.messages.records import ReleaseClaim

from .stand_ins import answer
from .stand_ins import Backend
from .stand_ins import close_after_head
from .stand_ins import cut_body
from .stand_ins import eventually
from .stand_ins import FakeControl
from .stand_ins import Front
from .stand_ins import make_idempotency_key
from .stand_ins import make_settings
from .stand_ins import stay_silent


async def test_resend_through_another_vm_gets_the_first_answer():
    """Guards invariant 10: a resend after the answer, through another VM,
    must not run, and must look like the first answer, with a mark."""
    control = FakeControl(make_settings())
    headers = "Content-Type: text/x\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
    backend = Backend(answer(b"order 7", "201 Created", headers))
    first, second = Front(control), Front(control)
    second.key = first.key
    second.state_cache.state = first.state_cache.state
    key = make_idempotency_key()
    async with first.run(backend), second.run(backend.address):
        assert (await first.order(key))[::2] == (201, b"order 7")
        await eventually(lambda: len(control.changes) == 2)
        status, headers, body = await second.order(key)
        assert (status, body) == (201, b"order 7")
        assert headers["x-medlarhollow-replay"] == "complete"
        assert headers["content-type"] == "text/x"
        assert headers.getall("set-cookie") == ["a=1", "b=2"]
    assert len(backend.requests) == 1
    assert second.dispatcher.released == ["cancelled"]


@pytest.mark.parametrize("status", ["200 OK", "204 No Content"])
async def test_large_answer_is_replayed_by_its_status(status):
    """Guards the ledger's size, and a caller whose large answer was lost:
    it still learns that the request ran."""
    body = b"" if status.startswith("204") else b"x" * 5000
    front = Front(outcome_body_limit_bytes=1000)
    key = make_idempotency_key()
    async with front.run(Backend(answer(body, status))):
        assert (await front.order(key))[2] == body
        await eventually(lambda: len(front.control.changes) == 2)
        got, headers, note = await front.order(key)
        assert got == int(status[:3])
        if body:
            assert headers["x-medlarhollow-replay"] == "no-body"
            assert json.loads(note)["outcome"] == "completed"
        outcome = front.control.changes[1].outcome
        assert outcome.body_kept is not bool(body)


async def test_resend_while_running_is_of_unknown_outcome():
    """Guards invariant 10 for a caller that resends too early."""
    backend = Backend(answer(b"ordered", delay_s=0.5))
    front = Front()
    key = make_idempotency_key()
    async with front.run(backend):
        running = asyncio.create_task(front.order(key))
        await eventually(lambda: backend.requests)
        status, headers, _ = await front.order(key)
        assert (status, headers["x-medlarhollow-outcome"]) == (502, "unknown")
        assert (await running)[0] == 200
    assert len(backend.requests) == 1


@pytest.mark.parametrize("body", [b"cutting", b"other order"])
async def test_key_of_another_request_is_refused(body):
    """Guards against an answer to another request under a reused key."""
    backend = Backend(answer())
    front = Front()
    key = make_idempotency_key()
    async with front.run(backend):
        await front.order(key, b"cuttings")
        status, headers, _ = await front.order(key, body)
        assert (status, headers["x-medlarhollow-outcome"]) == (422, "not-run")
    assert len(backend.requests) == 1


@pytest.mark.parametrize("lost", [1, 3])
async def test_lost_answer_to_the_claim_is_asked_again(lost):
    """Guards against a refusal of a claim that was committed."""
    backend = Backend(answer())
    front = Front()
    front.control.lose = lost
    async with front.run(backend):
        assert (await front.order(make_idempotency_key()))[0] == 200
    assert len(backend.requests) == 1


async def test_unreachable_control_means_not_run():
    """Guards invariants 9 and 10: without a committed claim nothing is
    sent, the refusal is true, and the key is free afterwards, even if the
    claim was committed and its answers were lost."""
    backend = Backend(answer())
    front = Front(claim_timeout_s=0.3)
    key = make_idempotency_key()
    async with front.run(backend):
        front.control.down = True
        status, headers, body = await front.order(key)
        assert (status, headers["x-medlarhollow-outcome"]) == (503, "not-run")
        assert json.loads(body)["error"] == "no_quorum"
        front.control.down = False
        front.control.lose = 10**6
        assert (await front.order(key))[0] == 503
        assert not backend.requests
        front.control.lose = 0
        await eventually(lambda: not front.vm.drain._tasks)
        assert (await front.order(key))[0] == 200
    assert len(backend.requests) == 1


@pytest.mark.parametrize(
    "behave", [close_after_head, stay_silent, cut_body], ids=str
)
async def test_lost_answer_of_the_server_runs_nothing_again(behave):
    """Guards invariant 10 where the first execution is uncertain: resends
    are refused as unknown or told the status, and nothing is sent."""
    backend, second = Backend(behave), Backend(answer())
    front = Front()
    front.add_route("/orders", timeout_s=0.5)
    key = make_idempotency_key()
    async with front.run(backend, second):
        if behave is cut_body:
            with pytest.raises(aiohttp.ClientError):
                await front.order(key)
            await eventually(lambda: len(front.control.changes) == 2)
            _, headers, _ = await front.order(key)
            assert headers["x-medlarhollow-replay"] == "no-body"
        else:
            for _ in range(2):
                _, headers, _ = await front.order(key)
                assert headers["x-medlarhollow-outcome"] == "unknown"
    assert len(backend.requests) == 1
    assert not second.requests
    assert not [
        change
        for change in front.control.changes
        if isinstance(change, ReleaseClaim)
    ]


async def test_caller_that_leaves_can_fetch_the_answer_later():
    """Guards crews on bad links: the order goes on when its caller leaves,
    and the resend gets its answer."""
    backend = Backend(answer(b"ordered", delay_s=0.3))
    front = Front()
    key = make_idempotency_key()
    async with front.run(backend):
        _, writer = await front.connect(
            f"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n"
            f"X-Medlarhollow-Key: {front.key}\r\nIdempotency-Key: {key}"
            "\r\n\r\ncuttings".encode()
        )
        await eventually(lambda: backend.requests)
        writer.transport.abort()
        await eventually(lambda: len(front.control.changes) == 2)
        _, headers, body = await front.order(key)
        assert body == b"ordered"
        assert headers["x-medlarhollow-replay"] == "complete"
    assert len(backend.requests) == 1


async def test_caller_that_leaves_before_sending_frees_the_key():
    """Guards against keys blocked for a week by requests that never ran."""
    backend = Backend(answer())
    front = Front(claim_timeout_s=5)
    key = make_idempotency_key()
    async with front.run(backend):
        front.control.lose = 10**6
        _, writer = await front.connect(
            f"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n"
            f"X-Medlarhollow-Key: {front.key}\r\nIdempotency-Key: {key}"
            "\r\n\r\ncuttings".encode()
        )
        await eventually(lambda: front.control.changes)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        front.control.lose = 0
        await eventually(lambda: not front.vm.drain._tasks)
        assert not backend.requests
        assert (await front.order(key))[0] == 200


async def test_old_key_is_refused():
    """Guards against a second execution after the retention: the key tells
    its own age."""
    backend = Backend(answer())
    front = Front()
    async with front.run(backend):
        old = "01900000-0000-7000-8000-000000000000"
        status, headers, _ = await front.order(old)
        assert (status, headers["x-medlarhollow-outcome"]) == (400, "not-run")
    assert not backend.requests


async def test_body_without_length_is_bounded():
    """Guards memory: the fingerprint needs the length of the body, so a
    chunked body is read ahead, up to a limit."""

    async def chunks(count):
        for _ in range(count):
            yield b"x" * 1000

    backend = Backend(answer())
    front = Front(body_keep_bytes=10_000)
    async with front.run(backend):
        key = make_idempotency_key()
        assert (await front.order(key, chunks(5)))[0] == 200
        assert backend.requests[0].body == b"x" * 5000
        key = make_idempotency_key()
        status, headers, _ = await front.order(key, chunks(100))
        assert (status, headers["x-medlarhollow-outcome"]) == (413, "not-run")
    assert len(backend.requests) == 1


async def test_refused_connection_is_replaced_under_the_same_claim():
    """Guards availability: before a byte was sent, another server may get
    the request, and it runs once."""
    backend = Backend(answer())
    front = Front()
    async with front.run("127.0.0.1:1", backend):
        assert (await front.order(make_idempotency_key()))[0] == 200
        await eventually(lambda: len(front.control.changes) == 2)
    assert front.dispatcher.released == ["not sent", "ok"]
    assert len(backend.requests) == 1
