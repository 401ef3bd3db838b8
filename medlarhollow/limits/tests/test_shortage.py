"""Reasons of rejections, from what the allocators answered."""

import asyncio

import pytest

from medlarhollow import clock
from medlarhollow.limits.account_queue import AccountQueue
from medlarhollow.limits.leased_tokens import LeasedTokens
from medlarhollow.limits.shortage import reject_account
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import TokenResponse

from .test_limiter import make_fleet  # noqa: F401 - fixture
from .test_limiter import replace_allocator

EMPTY = TokenResponse(wait_s=0.4)
STARTING = TokenResponse(wait_s=4.0, is_starting=True)


@pytest.mark.parametrize(
    ("responses", "kind", "retry_after_s", "detail"),
    [
        ({"a": EMPTY}, ErrorKind.RATE_LIMITED, 0.4, "used up"),
        ({"a": EMPTY, "b": EMPTY}, ErrorKind.RATE_LIMITED, 0.4, "used up"),
        ({}, ErrorKind.RATE_LIMITED, 0.0, "used up"),
        ({"a": STARTING}, ErrorKind.TOKENS_UNAVAILABLE, 1.0, "a starts"),
        ({"a": None}, ErrorKind.TOKENS_UNAVAILABLE, 0.0, "a is silent"),
        (
            {"a": EMPTY, "b": None},
            ErrorKind.TOKENS_UNAVAILABLE,
            0.0,
            "b is silent",
        ),
    ],
)
def test_rejection_names_its_reason(responses, kind, retry_after_s, detail):
    """Guards operators and callers against a rejection for the rate of an
    account whose allocator is lost or waits for its predecessor."""
    queue = AccountQueue(LeasedTokens(10.0))
    for data_centre, response in responses.items():
        queue.record_shortage(data_centre, response, 10.0)
    failure = reject_account("crew", queue.shortages.values(), 10.0).err_value
    assert failure.kind is kind
    assert failure.retry_after_s == pytest.approx(retry_after_s)
    assert detail in failure.detail


def test_reason_ends_with_the_next_tokens():
    queue = AccountQueue(LeasedTokens(10.0))
    for response in (None, STARTING, EMPTY):
        queue.record_shortage("a", response, 10.0)
    queue.record_shortage("a", TokenResponse(tokens=1.0), 10.2)
    assert queue.shortages == {}


def test_silence_counts_from_its_first_request():
    queue = AccountQueue(LeasedTokens(10.0))
    for now in (10.0, 11.0, 12.0):
        queue.record_shortage("a", None, now)
    failure = reject_account("crew", queue.shortages.values(), 12.5).err_value
    assert "silent for 2.50 s" in failure.detail


async def test_requests_at_a_lost_allocator_are_not_rejected_for_the_rate(
    make_fleet,  # noqa: F811
):
    fleet = await make_fleet(("north-a", 50.0, 10.0))
    await asyncio.sleep(0.2)
    assert (await fleet.admit()).is_ok()
    fleet.services["near"].silent = True
    kinds = {(await fleet.admit(wait_s=0.4)).err_value.kind for _ in range(3)}
    assert kinds == {ErrorKind.TOKENS_UNAVAILABLE}


async def test_requests_at_a_starting_allocator_are_not_rejected_for_the_rate(
    make_fleet,  # noqa: F811
):
    fleet = await make_fleet(("north-a", 50.0, 10.0))
    allocator = fleet.services["near"].allocator
    replace_allocator(fleet, "north-a", "near", 2)
    allocator.share_epoch(clock.monotonic())
    allocator._starts_at = allocator._undivided_starts_at = float("inf")
    failure = (await fleet.admit(wait_s=0.4)).err_value
    assert failure.kind is ErrorKind.TOKENS_UNAVAILABLE
    assert "north-a starts" in failure.detail
