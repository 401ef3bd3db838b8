"""Requests that get no second attempt, and what they get instead."""

import asyncio

import pytest

from medlarhollow import clock
from medlarhollow.entry.attempt import Attempt
from medlarhollow.entry.hedging import _choose_failure
from medlarhollow.requests import Answered
from medlarhollow.requests import NotSent
from medlarhollow.requests import Refused
from medlarhollow.requests import Unanswered

from .fakes import eventually
from .fakes import FakeBackend
from .fakes import make_idempotency_key
from .fakes import never_respond
from .fakes import respond
from .hedging_support import read_hedge_from
from .hedging_support import run_hedging
from .hedging_support import TYPICAL_S


@pytest.fixture
def hedge_of(caplog):
    """Return a function that returns the log record of the only request."""
    return read_hedge_from(caplog)


async def test_key_is_checked_before_the_second_attempt(hedge_of):
    """Guards invariant 5: a key that was revoked starts nothing new; what
    runs already is not disturbed."""
    first = FakeBackend(respond(b"first", delay_s=0.4))
    second = FakeBackend(respond(b"second"))
    async with run_hedging(first, second) as entry:
        running = asyncio.create_task(entry.call())
        await eventually(lambda: first.requests)
        entry.state_cache.state.keys.clear()
        assert (await running)[::2] == (200, b"first")
    assert not second.requests
    assert hedge_of().hedge == "key_revoked"


def be_full(entry):
    entry.dispatcher.is_full = True


def queue_requests(entry):
    entry.dispatcher.queued = 1


def reject_requests(entry):
    entry.vm.hedging.record_outcome(
        "plots", "1", Refused("full"), clock.monotonic()
    )


def spend_retry_budget(entry):
    while entry.vm.retry_budget.try_consume("plots"):
        pass


def limit_attempts(entry):
    entry.add_route("/plots", idempotent=True, attempts=1)


def set_objective(entry):
    entry.add_route("/plots", idempotent=True, objective_s=1.5 * TYPICAL_S)


def use_credit(entry):
    entry.dispatcher.remote.add(entry.dispatcher.servers[0])


@pytest.mark.parametrize(
    ("prepare", "verdict"),
    [
        (be_full, "no_slot"),
        (queue_requests, "queued"),
        (reject_requests, "rejections"),
        (spend_retry_budget, "retry_budget"),
        (limit_attempts, "no_attempt_left"),
        (set_objective, "no_time"),
        (use_credit, "on_credit"),
    ],
)
async def test_first_attempt_goes_on_without_a_second(
    prepare, verdict, hedge_of
):
    """Guards running work when the second attempt cannot start."""
    first = FakeBackend(respond(b"first", delay_s=0.3))
    second = FakeBackend(respond(b"second"))
    async with run_hedging(first, second) as entry:
        prepare(entry)
        assert (await entry.call())[::2] == (200, b"first")
        assert entry.dispatcher.released[-1] == "ok"
    assert len(first.requests) == 1
    assert not second.requests
    assert hedge_of().hedge == verdict


async def test_few_samples_mean_no_second_attempt(hedge_of):
    first = FakeBackend(respond(b"first", delay_s=0.3))
    second = FakeBackend(respond(b"second"))
    async with run_hedging(first, second, samples=19) as entry:
        assert (await entry.call())[::2] == (200, b"first")
    assert not second.requests
    assert hedge_of().hedge == "few_samples"


@pytest.mark.parametrize("path", ["/orders", "/post"])
async def test_request_that_runs_once_gets_no_second_attempt(path, hedge_of):
    """Guards invariant 10."""
    first = FakeBackend(respond(b"first", delay_s=0.3))
    second = FakeBackend(respond(b"second"))
    async with run_hedging(first, second) as entry:
        headers = {"idempotency-key": make_idempotency_key()}
        status, _, body = await entry.call(path, "POST", headers=headers)
    assert (status, body) == (200, b"first")
    assert not second.requests
    assert hedge_of().hedge == "not_idempotent"


@pytest.mark.parametrize("size", [8, 200_000])
async def test_body_must_be_kept(size, hedge_of):
    """Guards bodies: a second attempt sends the same body, whole."""

    first = FakeBackend(respond(b"first", delay_s=0.4))
    second = FakeBackend(respond(b"second"))
    async with run_hedging(
        first, second, body_keep_bytes=1024, stall_timeout_s=5
    ) as entry:

        async def send_body():
            # In pieces, so that the buffer of the entry VM fills.
            for _ in range(8):
                yield b"x" * (size // 8)
                await asyncio.sleep(0.001)

        status, _, body = await entry.call(method="PUT", data=send_body())
    assert status == 200
    if size == 8:
        assert body == b"second"
        assert second.requests[0].body == b"x" * size
    else:
        assert body == b"first"
        assert not second.requests
        assert hedge_of().hedge == "body_not_kept"


async def test_silent_server_is_left_as_before_without_a_second_attempt():
    """Guards the retry after half of the time, where hedging is denied."""
    first, second = FakeBackend(never_respond), FakeBackend(respond(b"second"))
    async with run_hedging(first, second) as entry:
        queue_requests(entry)
        assert (await entry.call(headers={"x-deadline-ms": "600"}))[::2] == (
            200,
            b"second",
        )
        assert entry.dispatcher.released == ["unanswered", "ok"]


async def test_hedge_limit_of_zero_changes_nothing(hedge_of):
    """Guards fleets that do not use second attempts."""
    first = FakeBackend(respond(b"first", delay_s=0.3))
    second = FakeBackend(respond(b"second"))
    async with run_hedging(first, second, hedge_limit=0.0) as entry:
        assert (await entry.call())[::2] == (200, b"first")
        assert not entry.dispatcher.second_requests
        assert entry.vm.hedging.tokens == {}
    assert not second.requests
    assert not hasattr(hedge_of(), "hedge")


async def test_slow_responses_stay_within_the_limit():
    """Guards servers when all of them are slow."""
    first = FakeBackend(respond(b"first", delay_s=0.3))
    second = FakeBackend(respond(b"second", delay_s=0.3))
    async with run_hedging(first, second, hedge_limit=0.1) as entry:
        statuses = await asyncio.gather(
            *(entry.call() for _ in range(40)),
        )
        assert {status for status, _, _ in statuses} == {200}
        assert entry.vm.hedging.tokens["plots"] < 1.0
    # Those of the 20 requests before and of these 40.
    assert 1 <= len(second.requests) <= 6


@pytest.mark.parametrize(
    ("outcomes", "chosen"),
    [
        ([Unanswered("silent"), NotSent("closed")], 0),
        ([NotSent("closed"), Unanswered("silent")], 1),
        ([Refused("full"), Answered(503)], 1),
        ([Answered(502), Answered(503)], 0),
        ([NotSent("closed"), NotSent("closed")], 0),
    ],
)
def test_failure_that_decides_on_a_retry(outcomes, chosen):
    """Guards the retry budget, which failed connects do not spend, and a
    response that can be passed on."""
    ended = [Attempt(None, outcome) for outcome in outcomes]
    assert _choose_failure(ended) is ended[chosen]
