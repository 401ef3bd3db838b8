"""Requests whose route and account are bound to regions."""

import attrs
import pytest

from medlarhollow.messages.records import Account

from .fakes import EntryHarness
from .fakes import FakeBackend
from .fakes import respond
from .fakes import SECRET

FORWARDED = {
    "x-fleet-secret": SECRET,
    "x-medlarhollow-forwarded": "b",
    "x-medlarhollow-account": "crew",
}


def bind(entry, route_regions, account_regions):
    state = entry.state_cache.state
    state.accounts["crew"] = Account("crew", home_regions=account_regions)
    route = state.routes["", "/plots"]
    state.routes["", "/plots"] = attrs.evolve(
        route, home_regions=route_regions
    )


@pytest.mark.parametrize(
    "headers", [{}, FORWARDED], ids=["of a caller", "forwarded"]
)
async def test_homes_without_a_common_region_allow_no_region(headers):
    """Guards against homes that exclude each other and then bind nothing."""
    backend = FakeBackend(respond())
    entry = EntryHarness()
    bind(entry, ("north",), ("south",))
    async with entry.run(backend):
        status, received, body = await entry.call(headers=headers)
    assert status == 503
    assert received["x-medlarhollow-outcome"] == "not-run"
    # Only another configuration ends this.
    assert "retry-after" not in received
    assert b"north" in body
    assert b"south" in body
    assert not entry.dispatcher.slot_requests
    assert not entry.limiter.admitted


@pytest.mark.parametrize(
    ("route_regions", "account_regions", "expected"),
    [
        ((), (), None),
        (("north",), (), {"north"}),
        ((), ("south",), {"south"}),
        (("north", "south"), ("south", "east"), {"south"}),
    ],
)
@pytest.mark.parametrize(
    "headers", [{}, FORWARDED], ids=["of a caller", "forwarded"]
)
async def test_homes_of_route_and_account_both_bind(
    headers, route_regions, account_regions, expected
):
    entry = EntryHarness()
    bind(entry, route_regions, account_regions)
    async with entry.run(FakeBackend(respond())):
        assert (await entry.call(headers=headers))[0] == 200
    assert entry.dispatcher.slot_requests[0].home_regions == expected
