"""Second attempts while the first one runs, with one failure in each test."""

import asyncio

import pytest

from medlarhollow import clock

from .fakes import close_after_head
from .fakes import eventually
from .fakes import FakeBackend
from .fakes import never_respond
from .fakes import read_body
from .fakes import respond
from .fakes import truncate_body
from .hedging_support import DIALECT
from .hedging_support import read_hedge_from
from .hedging_support import run_hedging
from .hedging_support import SEAL
from .hedging_support import TYPICAL_S

CLOSED_ADDRESS = "127.0.0.1:1"
# Before a server that stays silent is given up, half of the time left.
SOON_S = 0.5


@pytest.fixture
def hedge_of(caplog):
    """Return a function that returns the log record of the only request."""
    return read_hedge_from(caplog)


def deadline_of(request):
    [left_ms] = [
        int(line.split(":")[1])
        for line in request.head.decode().lower().split("\r\n")
        if line.startswith("x-deadline-ms:")
    ]
    return left_ms


async def test_slow_request_is_answered_by_the_second_server(hedge_of):
    """Guards the purpose: the caller does not wait for the slow server."""
    first = FakeBackend(never_respond)
    second = FakeBackend(respond(b"second"))
    async with run_hedging(first, second) as entry:
        started_at = clock.monotonic()
        assert (await entry.call())[::2] == (200, b"second")
        assert clock.monotonic() - started_at < 0.8
        # The attempt that is not used is closed at once.
        await eventually(lambda: first.closed == 1, SOON_S)
        await eventually(
            lambda: entry.dispatcher.released == ["superseded", "ok"]
        )
        left = deadline_of(second.requests[0]), deadline_of(first.requests[0])
        assert left[0] <= left[1] - 1000 * TYPICAL_S + 2
    record = hedge_of()
    assert (record.hedge, record.hedge_winner) == ("hedged", "second")
    assert record.hedges_left > 0
    assert record.hedge_saved_ms >= 0
    assert {attempt.split()[1] for attempt in record.attempts} == {
        "superseded",
        "answered",
    }


async def test_first_answer_is_used_if_it_comes_first(hedge_of):
    """Guards the first attempt: the second one does not replace it."""
    first = FakeBackend(respond(b"first", delay_s=0.3))
    second = FakeBackend(never_respond)
    async with run_hedging(first, second) as entry:
        assert (await entry.call())[::2] == (200, b"first")
        await eventually(lambda: second.closed == 1, SOON_S)
        # The time of a second attempt that was cut short is no sample.
        await eventually(
            lambda: sorted(entry.dispatcher.released) == ["cancelled", "ok"]
        )
    record = hedge_of()
    assert (record.hedge, record.hedge_winner) == ("hedged", "first")
    assert record.hedge_saved_ms == 0


async def test_fast_request_gets_no_second_attempt(hedge_of):
    second = FakeBackend(respond(b"second"))
    async with run_hedging(FakeBackend(respond(b"first")), second) as entry:
        assert (await entry.call())[::2] == (200, b"first")
    assert not second.requests
    assert hedge_of().hedge == "not_slow"
    assert not hasattr(hedge_of(), "hedge_winner")


async def test_metrics_show_the_use_of_second_attempts():
    first = FakeBackend(never_respond)
    second = FakeBackend(respond(b"second"))
    async with run_hedging(first, second) as entry:
        entry.telemetry._is_collecting = True
        assert (await entry.call())[0] == 200
        entry.dispatcher.queued = 1
        first._behaviour = respond(b"first", delay_s=0.2)
        assert (await entry.call())[0] == 200
        counters = entry.telemetry.metrics.counters
        assert counters["hedges"] == {
            ("plots", "second"): 1,
            ("plots", "queued"): 1,
        }
        assert set(counters["hedge_saved"]) <= {("plots",)}


def fail_later(delay_s, behaviour):
    async def fail(request, reader, writer):
        await read_body(request, reader)
        await asyncio.sleep(delay_s)
        return await behaviour(request, reader, writer)

    return fail


FULL = "503 Full"
FAILURES = {
    # how a server fails, and the results that count for it
    "dies": (close_after_head, "unanswered"),
    "rejects": (
        respond(status=FULL, headers=SEAL + "X-Not-Run: 1\r\n"),
        "refused",
    ),
    "sheds load": (respond(status=FULL, headers=SEAL), "error"),
    "is paused": (
        respond(
            status=FULL,
            headers=SEAL + "X-Not-Run: 1\r\nRetry-After: 2\r\n",
        ),
        "refused",
    ),
    "is another server": (respond(status="421 Other"), "refused"),
    "has no seal": (respond(b"forged"), "unanswered"),
    "answers another request": (
        respond(b"other", headers=SEAL + "X-Request-Id: other\r\n"),
        "unanswered",
    ),
    "sends an invalid status": (
        respond(b"", "000 None", SEAL),
        "unanswered",
    ),
    "sends an invalid head": (respond(b"", "garbage", "\0"), "unanswered"),
}


@pytest.mark.parametrize("failure", FAILURES.values(), ids=FAILURES)
async def test_failure_of_the_first_server(failure):
    """Guards the caller against a server that is slow and then fails, and
    counts the failure for this server."""
    behaviour, result = failure
    first = FakeBackend(fail_later(0.25, behaviour))
    second = FakeBackend(respond(b"second", headers=SEAL, delay_s=0.4))
    third = FakeBackend(respond(b"third", headers=SEAL))
    async with run_hedging(first, second, third, dialect=DIALECT) as entry:
        assert (await entry.call())[::2] == (200, b"second")
        assert entry.dispatcher.released == [result, "ok"]
        assert len(entry.dispatcher.pauses) == (
            failure is FAILURES["is paused"]
        )
    assert not third.requests


@pytest.mark.parametrize("failure", FAILURES.values(), ids=FAILURES)
async def test_failure_of_the_second_server(failure):
    """Guards the first attempt, which must go on, and counts the failure for
    the second server."""
    behaviour, result = failure
    first = FakeBackend(respond(b"first", headers=SEAL, delay_s=0.4))
    second = FakeBackend(behaviour)
    third = FakeBackend(respond(b"third", headers=SEAL))
    async with run_hedging(first, second, third, dialect=DIALECT) as entry:
        assert (await entry.call())[::2] == (200, b"first")
        assert entry.dispatcher.released == [result, "ok"]
        assert len(entry.dispatcher.pauses) == (
            failure is FAILURES["is paused"]
        )
    assert len(first.requests) == len(second.requests) == 1
    assert not third.requests


async def test_second_server_cannot_be_reached():
    first = FakeBackend(respond(b"first", delay_s=0.4))
    async with run_hedging(first, CLOSED_ADDRESS) as entry:
        assert (await entry.call())[::2] == (200, b"first")
        assert entry.dispatcher.released == ["not sent", "ok"]


@pytest.mark.parametrize("is_first", [True, False])
async def test_server_says_that_it_leaves(is_first, monkeypatch):
    """Guards a leaving server, whose notice counts whether its response is
    used or not."""
    leaving = "X-Leaving: 1\r\n"
    first = FakeBackend(
        respond(
            b"first",
            FULL if is_first else "200 OK",
            SEAL + leaving * is_first,
            delay_s=0.25 if is_first else 0.4,
        )
    )
    second = FakeBackend(
        respond(
            b"second",
            "200 OK" if is_first else FULL,
            SEAL + leaving * (not is_first),
            delay_s=0.4 if is_first else 0.0,
        )
    )
    async with run_hedging(first, second, dialect=DIALECT) as entry:
        left = []
        monkeypatch.setattr(
            entry.vm.directory,
            "mark_left",
            lambda server, now: left.append(server.server_id),
        )
        status, _, body = await entry.call()
        assert (status, body) == (200, b"second" if is_first else b"first")
        assert left == [(first if is_first else second).address]


async def test_failure_of_both_servers_leads_to_a_retry():
    """Guards the retry rule: it holds after two attempts as after one."""
    first = FakeBackend(fail_later(0.3, close_after_head))
    second = FakeBackend(close_after_head)
    third = FakeBackend(respond(b"third"))
    async with run_hedging(first, second, third) as entry:
        before = entry.vm.retry_budget.level("plots")
        assert (await entry.call())[::2] == (200, b"third")
        # The second and the third arrival.
        assert entry.vm.retry_budget.level("plots") == before - 2.0
    assert [len(b.requests) for b in (first, second, third)] == [1, 1, 1]


@pytest.mark.parametrize(
    ("second", "status", "outcome"),
    [
        (close_after_head, 502, "unknown"),
        (
            respond(status=FULL, headers=SEAL + "X-Not-Run: 1\r\n"),
            502,
            "unknown",
        ),
        (
            fail_later(
                0.4, respond(status=FULL, headers=SEAL + "X-Not-Run: 1\r\n")
            ),
            502,
            "unknown",
        ),
        (respond(b"busy", FULL, SEAL), 503, None),
    ],
)
async def test_failure_of_both_servers_ends_a_route_with_two_attempts(
    second, status, outcome
):
    """Guards the number of attempts of a route, and callers against a wrong
    outcome: the first attempt may have run."""
    first = FakeBackend(fail_later(0.3, close_after_head))
    third = FakeBackend(respond(b"third", headers=SEAL))
    async with run_hedging(
        first, FakeBackend(second), third, dialect=DIALECT
    ) as entry:
        entry.add_route("/plots", idempotent=True, attempts=2)
        received, headers, _ = await entry.call()
        assert received == status
        assert headers.get("x-medlarhollow-outcome") == outcome
    assert not third.requests


async def test_rejection_by_both_servers_is_not_run():
    """Guards invariant 9 in both directions."""
    refuse = respond(status=FULL, headers=SEAL + "X-Not-Run: 1\r\n")
    first = FakeBackend(fail_later(0.3, refuse))
    async with run_hedging(
        first, FakeBackend(refuse), dialect=DIALECT
    ) as entry:
        entry.add_route("/plots", idempotent=True, attempts=2)
        status, headers, _ = await entry.call()
    assert (status, headers["x-medlarhollow-outcome"]) == (503, "not-run")


async def test_caller_leaves():
    """Guards capacity: both attempts end with the request."""
    first, second = FakeBackend(never_respond), FakeBackend(never_respond)
    async with run_hedging(first, second) as entry:
        _, writer = await entry.connect(
            b"GET /open HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: second.requests)
        writer.close()
        await eventually(lambda: first.closed == second.closed == 1, SOON_S)
        assert entry.dispatcher.released == ["cancelled"] * 2


async def test_caller_leaves_before_the_second_attempt():
    first, second = FakeBackend(never_respond), FakeBackend(never_respond)
    async with run_hedging(first, second) as entry:
        _, writer = await entry.connect(
            b"GET /open HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: first.requests)
        writer.close()
        await eventually(lambda: first.closed == 1, SOON_S)
        await asyncio.sleep(2 * TYPICAL_S)
        assert entry.dispatcher.released == ["cancelled"]
    assert not second.requests


async def test_deadline_ends_both_attempts():
    first, second = FakeBackend(never_respond), FakeBackend(never_respond)
    third = FakeBackend(respond(b"third"))
    async with run_hedging(first, second, third) as entry:
        started_at = clock.monotonic()
        status, headers, _ = await entry.call(headers={"x-deadline-ms": "600"})
        assert clock.monotonic() - started_at < 1.5
        assert headers["x-medlarhollow-outcome"] == "unknown"
        await eventually(lambda: first.closed == second.closed == 1)
        assert entry.dispatcher.released == ["unanswered"] * 2
    assert status >= 500
    # Neither attempt is given up for a third one while both run.
    assert not third.requests


async def test_drain_lets_both_attempts_end(hedge_of):
    """Guards invariant 12: a planned stop interrupts no request."""
    first = FakeBackend(respond(b"first", delay_s=0.5))
    second = FakeBackend(never_respond)
    async with run_hedging(first, second) as entry:
        running = asyncio.create_task(entry.call())
        await eventually(lambda: second.requests)
        entry.vm.drain.close()
        assert (await running)[::2] == (200, b"first")
    assert hedge_of().hedge_winner == "first"


async def test_drain_limit_ends_both_attempts():
    """Guards the planned stop of a VM, and the servers afterwards."""
    first, second = FakeBackend(never_respond), FakeBackend(never_respond)
    async with run_hedging(first, second) as entry:
        _, writer = await entry.connect(
            b"GET /open HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        await eventually(lambda: second.requests)
        entry.server.should_exit = True
        await eventually(lambda: first.closed == second.closed == 1)
        writer.close()


@pytest.mark.parametrize("is_whole", [True, False])
async def test_response_that_was_passed_on_is_not_replaced(is_whole):
    """Guards invariant 8: after the head, a slow or truncated body is no
    reason for a second attempt."""

    async def behaviour(request, reader, writer):
        if not is_whole:
            return await truncate_body(request, reader, writer)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst")
        await asyncio.sleep(4 * TYPICAL_S)
        writer.write(b"-last")
        return True

    first, second = FakeBackend(behaviour), FakeBackend(respond(b"second"))
    async with run_hedging(first, second) as entry:
        if is_whole:
            assert (await entry.call())[2] == b"first-last"
        else:
            with pytest.raises(Exception, match="payload|disconnect|Cannot"):
                await entry.call()
    assert not second.requests


async def test_truncated_response_of_the_second_server_counts_for_it():
    """Guards invariant 8 and the records of both servers."""
    first = FakeBackend(never_respond)
    async with run_hedging(first, FakeBackend(truncate_body)) as entry:
        with pytest.raises(Exception, match="payload|disconnect|Cannot"):
            await entry.call()
        await eventually(
            lambda: entry.dispatcher.released == ["superseded", "error"]
        )
