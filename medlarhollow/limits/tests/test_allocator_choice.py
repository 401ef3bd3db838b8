"""Which allocators are asked for the tokens of an account."""

import time

import pytest

from medlarhollow.limits import Limiter
from medlarhollow.limits.allocator_client import AllocatorClient
from medlarhollow.messages.records import TokenResponse

from .support import FakeStateCache
from .support import make_settings
from .support import make_state

PLACES = [f"dc-{number}" for number in range(9)]


class StandInClient(AllocatorClient):
    """Allocators of which one holds tokens, or all with None."""

    def __init__(self, settings, copy, holder):
        super().__init__(settings, copy, None)
        self.holder = holder
        self.asked = []

    async def acquire(self, source, request, take_late):
        self.asked.append(source.data_centre)
        is_holder = self.holder in (None, source.data_centre)
        if not is_holder or not request.tokens:
            return TokenResponse(wait_s=0.5, epoch=1)
        return TokenResponse(tokens=1.0, lease_s=1.0, epoch=1, batch_id=1)


def make_limiter(holder, shares):
    settings = make_settings(
        "entry", data_centre=PLACES[0], limits__refill_wait_s="0"
    )
    copy = FakeStateCache(
        make_state(
            vms=[(f"vm-{place}", "north", place, "h:1") for place in PLACES],
            shares=[(place, 10.0, 5.0) for place in shares],
            allocators=[(place, f"vm-{place}", 1) for place in PLACES],
        )
    )
    limiter = Limiter(settings, copy, None)
    limiter._client = StandInClient(settings, copy, holder)
    return limiter


@pytest.mark.parametrize("holder", PLACES)
async def test_no_request_is_refused_while_an_allocator_holds_tokens(holder):
    limiter = make_limiter(holder, PLACES)
    for _ in range(3):
        limiter._lines.clear()
        admitted = await limiter.admit("crew", time.monotonic() + 1.0)
        assert admitted.is_ok()


async def test_only_data_centres_with_a_share_are_asked():
    limiter = make_limiter(PLACES[5], PLACES[4:6])
    admitted = await limiter.admit("crew", time.monotonic() + 1.0)
    assert admitted.is_ok()
    assert set(limiter._client.asked) <= set(PLACES[4:6])


async def test_one_request_draws_tokens_of_one_data_centre():
    """Guards other VMs: tokens that are drawn and not spent are missing
    elsewhere until they are given back."""
    limiter = make_limiter(None, PLACES[3:])
    admitted = await limiter.admit("crew", time.monotonic() + 1.0)
    assert admitted.is_ok()
    assert len(limiter._client.asked) == 1


async def test_account_without_tokens_is_refused_once_all_were_asked():
    limiter = make_limiter("", PLACES)
    admitted = await limiter.admit("crew", time.monotonic() + 1.0)
    assert admitted.is_err()
    assert set(limiter._client.asked) == set(PLACES)


async def test_request_soon_after_tokens_came_from_afar_is_not_refused():
    """Guards against an account that is taken for empty because the data
    centre with its tokens was asked a moment ago."""
    limiter = make_limiter(PLACES[5], PLACES)
    for _ in range(4):
        admitted = await limiter.admit("crew", time.monotonic() + 1.0)
        assert admitted.is_ok()
