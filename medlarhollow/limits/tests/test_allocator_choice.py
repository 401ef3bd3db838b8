"""Tests of which allocators are called for the tokens of an account."""

import pytest

from medlarhollow import clock
from medlarhollow.limits import Limiter
from medlarhollow.limits.allocator_client import AllocatorClient
from medlarhollow.messages.records import TokenResponse

from .support import FakeStateCache
from .support import make_settings
from .support import make_state

DATA_CENTRES = [f"dc-{number}" for number in range(9)]


class FakeAllocatorClient(AllocatorClient):
    """Allocators of which only `holder` has tokens, or all if it is None."""

    def __init__(self, settings, state_cache, holder):
        super().__init__(settings, state_cache, None)
        self.holder = holder
        self.called = []

    async def acquire(self, source, request, on_late_response):
        self.called.append(source.data_centre)
        is_holder = self.holder in (None, source.data_centre)
        if not is_holder or not request.tokens:
            return TokenResponse(wait_s=0.5, epoch=1)
        return TokenResponse(tokens=1.0, lease_s=1.0, epoch=1, batch_id=1)


def make_limiter(holder, shares):
    settings = make_settings(
        "entry", data_centre=DATA_CENTRES[0], limits__refill_wait_s="0"
    )
    state_cache = FakeStateCache(
        make_state(
            vms=[
                (f"vm-{data_centre}", "north", data_centre, "h:1")
                for data_centre in DATA_CENTRES
            ],
            shares=[(data_centre, 10.0, 5.0) for data_centre in shares],
            allocators=[
                (data_centre, f"vm-{data_centre}", 1)
                for data_centre in DATA_CENTRES
            ],
        )
    )
    limiter = Limiter(settings, state_cache, None)
    limiter._client = FakeAllocatorClient(settings, state_cache, holder)
    return limiter


@pytest.mark.parametrize("holder", DATA_CENTRES)
async def test_no_request_is_rejected_while_an_allocator_has_tokens(holder):
    limiter = make_limiter(holder, DATA_CENTRES)
    for _ in range(3):
        limiter._queues.clear()
        admitted = await limiter.admit("crew", clock.monotonic() + 1.0)
        assert admitted.is_ok()


async def test_only_data_centres_with_a_share_are_called():
    limiter = make_limiter(DATA_CENTRES[5], DATA_CENTRES[4:6])
    admitted = await limiter.admit("crew", clock.monotonic() + 1.0)
    assert admitted.is_ok()
    assert set(limiter._client.called) <= set(DATA_CENTRES[4:6])


async def test_one_request_acquires_tokens_from_one_data_centre():
    """Guards against withholding tokens from other VMs: unspent tokens are
    missing elsewhere until they are returned."""
    limiter = make_limiter(None, DATA_CENTRES[3:])
    admitted = await limiter.admit("crew", clock.monotonic() + 1.0)
    assert admitted.is_ok()
    assert len(limiter._client.called) == 1


async def test_account_without_tokens_is_rejected_after_all_were_called():
    limiter = make_limiter("", DATA_CENTRES)
    admitted = await limiter.admit("crew", clock.monotonic() + 1.0)
    assert admitted.is_err()
    assert set(limiter._client.called) == set(DATA_CENTRES)


async def test_request_soon_after_a_remote_acquisition_is_not_rejected():
    """Guards against treating an account as exhausted because the data centre
    with its tokens was called a moment ago."""
    limiter = make_limiter(DATA_CENTRES[5], DATA_CENTRES)
    for _ in range(4):
        admitted = await limiter.admit("crew", clock.monotonic() + 1.0)
        assert admitted.is_ok()
