"""Tests of the limiter over real connections."""

import asyncio

import attrs
import pytest

from medlarhollow import clock
from medlarhollow.agreement.tests.fakes import eventually
from medlarhollow.limits import Limiter
from medlarhollow.limits import ShareAllocator
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages.records import TokenResponses
from medlarhollow.messages.services import FleetBase
from medlarhollow.transport import Channels
from medlarhollow.transport import PeerServer

from .support import FakeStateCache
from .support import make_settings
from .support import make_state


class AlwaysFresh(FakeStateCache):
    def freshness_age_s(self, now):
        return 0.0


class AllocatorService(FleetBase):
    """Allocator VM that can lose or delay responses, or be silent."""

    def __init__(self, allocator):
        self.allocator = allocator
        self.lost_responses = 0
        self.delayed_responses = 0
        self.silent = False
        self.calls = 0

    async def AcquireTokens(self, stream):
        async for message in stream:
            for request in message.requests:
                self.calls += 1
                if not self.silent:
                    await self.respond(stream, request)

    async def respond(self, stream, request):
        response = self.allocator.acquire(request, clock.monotonic())
        response = attrs.evolve(response, call_id=request.call_id)
        if self.lost_responses and response.tokens:
            self.lost_responses -= 1
        elif self.delayed_responses and response.tokens:
            self.delayed_responses -= 1
            self.send_task = asyncio.create_task(
                self.send(stream, response, 0.2)
            )
        else:
            await self.send(stream, response)

    async def send(self, stream, response, delay_s=0.0):
        await asyncio.sleep(delay_s)
        await stream.send_message(TokenResponses((response,)))

    async def Sync(self, stream):
        raise NotImplementedError

    async def Exchange(self, stream):
        raise NotImplementedError

    async def AcquireCredit(self, stream):
        raise NotImplementedError


class LimiterFleet:
    """Allocators in north-a and south-a, and an entry VM in north-a."""

    def __init__(self, directory, shares, **options):
        self.directory = directory
        self.addresses = free_addresses(2)
        local_address, remote_address = self.addresses
        self.state_cache = AlwaysFresh(
            make_state(
                vms=[
                    ("near", "north", "north-a", local_address),
                    ("far", "south", "south-a", remote_address),
                    ("entry", "north", "north-a", "127.0.0.1:1"),
                ],
                shares=shares,
                allocators=[("north-a", "near", 1), ("south-a", "far", 1)],
            )
        )
        self.services = {}
        self.servers = []
        settings = make_settings("entry", directory, **options)
        self.channels = Channels(settings)
        self.limiter = Limiter(settings, self.state_cache, self.channels)

    async def start(self):
        locations = [("near", "north"), ("far", "south")]
        for (name, region), address in zip(
            locations, self.addresses, strict=True
        ):
            settings = make_settings(
                name, self.directory, region, peer__listen=address
            )
            allocator = ShareAllocator(
                settings, self.state_cache, f"{name}#1", clock.monotonic()
            )
            allocator.share_epoch(clock.monotonic())
            self.services[name] = AllocatorService(allocator)
            server = PeerServer(settings, [self.services[name]])
            await server.start()
            self.servers.append(server)
        self.limiter_task = asyncio.create_task(self.limiter.run())

    async def stop(self):
        self.limiter_task.cancel()
        self.channels.close()
        for server in self.servers:
            await server.stop()

    def admit(self, account="crew", wait_s=5.0):
        return self.limiter.admit(account, clock.monotonic() + wait_s)

    async def admit_many(self, count, account="crew"):
        results = await asyncio.gather(
            *(self.admit(account) for _ in range(count))
        )
        return sum(result.is_ok() for result in results)


@pytest.fixture
async def make_fleet(tmp_path):
    fleets = []

    async def make(*shares, **options):
        fleet = LimiterFleet(tmp_path, shares, **options)
        fleets.append(fleet)
        await fleet.start()
        return fleet

    yield make
    for fleet in fleets:
        await fleet.stop()


async def test_requests_within_the_rate_are_admitted(make_fleet):
    """Guards against rejections of requests within the rate."""
    fleet = await make_fleet(("north-a", 50.0, 10.0))
    await asyncio.sleep(0.1)
    for _ in range(30):
        assert (await fleet.admit()).is_ok()
        await asyncio.sleep(0.02)


async def test_a_small_burst_does_not_reduce_the_rate(make_fleet):
    """Guards against spent tokens that stay outstanding until the lease
    expires: a burst of 1 would then allow only one token a second."""
    fleet = await make_fleet(("north-a", 20.0, 1.0))
    started_at = clock.monotonic()
    assert await fleet.admit_many(10) == 10
    assert clock.monotonic() - started_at < 1.0


async def test_spending_on_one_vm_soon_frees_the_burst_for_another(make_fleet):
    """Guards against a spent token that stays outstanding for its whole lease
    because the same VM has no further request that would report it."""
    fleet = await make_fleet(("north-a", 20.0, 1.0))
    settings = make_settings("other", fleet.directory)
    other = Limiter(settings, fleet.state_cache, fleet.channels)
    assert (await fleet.admit()).is_ok()
    started_at = clock.monotonic()
    assert (await other.admit("crew", started_at + 5)).is_ok()
    assert clock.monotonic() - started_at < 0.7


async def test_requests_above_the_rate_are_rejected_after_the_wait_limit(
    make_fleet,
):
    """Guards against rejections before or long after the wait limit."""
    fleet = await make_fleet(("north-a", 10.0, 5.0))
    await asyncio.sleep(0.5)
    started_at = clock.monotonic()
    admitted = await fleet.admit_many(60)
    elapsed_s = clock.monotonic() - started_at
    assert 10 <= admitted <= 5 + 10 * elapsed_s + 1
    assert 0.9 <= elapsed_s < 1.5
    [sample] = fleet.limiter.pop_demand_samples(clock.monotonic())
    assert sample.rate_per_s > sample.unmet_per_s > 0


async def test_a_deadline_before_the_wait_limit_is_observed(make_fleet):
    """Guards against requests that wait past the caller's deadline."""
    fleet = await make_fleet()
    started_at = clock.monotonic()
    assert (await fleet.admit(wait_s=0.2)).is_err()
    assert clock.monotonic() - started_at < 0.5


async def test_requests_are_admitted_in_order(make_fleet):
    """Guards against new requests that overtake waiting ones."""
    fleet = await make_fleet(("north-a", 40.0, 3.0))
    order = []

    async def admit(number):
        if (await fleet.admit()).is_ok():
            order.append(number)

    await asyncio.gather(*(admit(number) for number in range(20)))
    assert order == sorted(order)
    assert len(order) == 20


async def test_tokens_of_other_data_centres_are_found(make_fleet):
    """Guards against rejections while another data centre has tokens."""
    fleet = await make_fleet(("north-a", 1.0, 1.0), ("south-a", 50.0, 20.0))
    await asyncio.sleep(0.4)
    assert await fleet.admit_many(15) == 15


@pytest.mark.parametrize("fault", ["silent", "gone"])
async def test_an_unresponsive_allocator_is_skipped(make_fleet, fault):
    """Guards against an account that waits for a frozen or dead allocator
    while another has tokens."""
    fleet = await make_fleet(("north-a", 50.0, 20.0), ("south-a", 50.0, 20.0))
    await asyncio.sleep(0.4)
    if fault == "silent":
        fleet.services["near"].silent = True
    else:
        await fleet.servers[0].stop()
    assert await fleet.admit_many(10) == 10


async def test_a_lost_response_only_delays_the_request(make_fleet):
    """Guards against spending tokens that were never received, and against a
    rejection because one response was lost."""
    fleet = await make_fleet(("north-a", 50.0, 20.0))
    await asyncio.sleep(0.4)
    fleet.services["near"].lost_responses = 1
    assert (await fleet.admit()).is_ok()


async def test_tokens_of_a_late_response_are_used(make_fleet):
    """Guards against rejections within the rate: tokens of a late response
    that a busy VM discards stay outstanding until their lease expires."""
    fleet = await make_fleet(("north-a", 20.0, 1.0))
    await asyncio.sleep(0.4)
    fleet.services["near"].delayed_responses = 1
    assert (await fleet.admit(wait_s=0.8)).is_ok()


async def test_unanswered_call_is_discarded_once_another_has_a_response(
    make_fleet,
):
    """Guards against counting a failure twice: at the timeout of a call, and
    again when the lease of its tokens expires, after a later response."""
    fleet = await make_fleet(("north-a", 20.0, 1.0))
    await asyncio.sleep(0.4)
    fleet.services["near"].lost_responses = 1
    assert (await fleet.admit(wait_s=0.2)).is_err()
    await asyncio.sleep(1.1)
    assert not fleet.limiter._client._failures


async def test_one_account_does_not_delay_another(make_fleet):
    """Guards accounts within their rate against one far above its own."""
    fleet = await make_fleet(("north-a", 5.0, 5.0))
    for data_centre in ("north-a", "south-a"):
        share = fleet.state_cache.state.shares[("crew", "north-a")]
        fleet.state_cache.state.shares[("clerks", data_centre)] = type(share)(
            "clerks", data_centre, 50.0, 10.0, 2
        )
    fleet.state_cache.state.revision += 1
    flood = asyncio.create_task(fleet.admit_many(500))
    await asyncio.sleep(0.3)
    slowest_s = 0.0
    for _ in range(10):
        started_at = clock.monotonic()
        assert (await fleet.admit("clerks")).is_ok()
        slowest_s = max(slowest_s, clock.monotonic() - started_at)
    assert slowest_s < 0.25
    assert await flood < 20


async def test_unspent_tokens_are_returned(make_fleet):
    """Guards against tokens that expire on a VM without requests."""
    fleet = await make_fleet(("north-a", 20.0, 20.0))
    await asyncio.sleep(1.0)
    assert await fleet.admit_many(8) == 8
    assert fleet.services["near"].allocator._buckets["crew"].outstanding > 0
    await asyncio.sleep(0.9)
    unspent = sum(
        batch.unspent
        for batch in fleet.limiter._queues["crew"].tokens._batches
    )
    assert unspent == 0


async def test_refill_wait_of_0_rejects_immediately_above_the_rate(make_fleet):
    """Guards against head-of-line blocking: admitted requests would wait as
    long as the rejected ones."""
    fleet = await make_fleet(
        ("north-a", 20.0, 5.0),
        ("south-a", 20.0, 5.0),
        limits__refill_wait_s="0",
    )
    await asyncio.sleep(0.4)
    waits_s = []

    async def admit():
        requested_at = clock.monotonic()
        result = await fleet.admit()
        waits_s.append(clock.monotonic() - requested_at)
        return result.is_ok()

    started_at = clock.monotonic()
    calls = []
    for _ in range(100):
        calls.append(asyncio.create_task(admit()))
        await asyncio.sleep(0.01)
    admitted = sum(await asyncio.gather(*calls))
    elapsed_s = clock.monotonic() - started_at
    # Half of the wait limit of 1 s; one round of calls takes some 10 ms.
    assert max(waits_s) < 0.5
    # Nearly all of both shares is used, and no more.
    assert 0.7 * (10 + 40 * elapsed_s) <= admitted <= 10 + 40 * elapsed_s + 1


async def test_a_failed_allocator_causes_no_immediate_rejection(
    make_fleet,
):
    """Guards against rejections when an allocator's tokens are unknown."""
    fleet = await make_fleet(
        ("north-a", 50.0, 20.0), limits__refill_wait_s="0"
    )
    await asyncio.sleep(0.4)
    fleet.services["near"].lost_responses = 1
    assert (await fleet.admit()).is_ok()


async def test_rejected_requests_do_not_wait_for_the_next_refill(make_fleet):
    """Guards against delayed rejections after all allocators have reported
    that they have no tokens: callers could have retried earlier."""
    fleet = await make_fleet(
        ("north-a", 2.0, 1.0),
        ("south-a", 2.0, 1.0),
        limits__refill_wait_s="0",
    )
    await asyncio.sleep(0.6)
    waits_s = []

    async def admit():
        requested_at = clock.monotonic()
        await fleet.admit()
        waits_s.append(clock.monotonic() - requested_at)

    calls = []
    for _ in range(100):
        calls.append(asyncio.create_task(admit()))
        await asyncio.sleep(0.01)
    await asyncio.gather(*calls)
    # A round of calls takes some 10 ms here, a refill half a second.
    assert sum(wait_s > 0.1 for wait_s in waits_s) <= 5


def replace_allocator(fleet, data_centre, vm, epoch):
    state = fleet.state_cache.state
    state.allocators[data_centre] = attrs.evolve(
        state.allocators[data_centre], vm=vm, epoch=epoch
    )
    state.revision += 1


async def test_tokens_of_a_replaced_allocator_are_not_spent(make_fleet):
    """Guards the rate of an account: once all VMs have reported a successor
    it issues the same tokens."""
    fleet = await make_fleet(("north-a", 50.0, 10.0))
    await asyncio.sleep(0.2)
    assert (await fleet.admit()).is_ok()
    tokens = fleet.limiter._queues["crew"].tokens
    while not tokens.available(clock.monotonic()):
        await fleet.admit()
    replace_allocator(fleet, "north-a", "far", 2)
    fleet.limiter.discard_superseded()
    assert tokens.available(clock.monotonic()) == 0


async def test_late_tokens_of_a_replaced_allocator_are_not_spent(make_fleet):
    fleet = await make_fleet(("north-a", 50.0, 10.0))
    await asyncio.sleep(0.2)
    fleet.services["near"].delayed_responses = 1
    waiting = asyncio.create_task(fleet.admit(wait_s=0.5))
    await eventually(lambda: not fleet.services["near"].delayed_responses)
    replace_allocator(fleet, "north-a", "entry", 2)
    fleet.limiter.discard_superseded()
    assert (await waiting).is_err()
