"""Requests that wait for tokens, over real connections."""

import asyncio
import time

import attrs
import pytest

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
    """Answers as an allocator VM, or loses or delays answers, or is silent."""

    def __init__(self, allocator):
        self.allocator = allocator
        self.lost = 0
        self.late = 0
        self.silent = False
        self.calls = 0

    async def AcquireTokens(self, stream):
        async for message in stream:
            for request in message.requests:
                self.calls += 1
                if not self.silent:
                    await self.answer(stream, request)

    async def answer(self, stream, request):
        response = self.allocator.acquire(request, time.monotonic())
        response = attrs.evolve(response, call_id=request.call_id)
        if self.lost and response.tokens:
            self.lost -= 1
        elif self.late and response.tokens:
            self.late -= 1
            self.sending = asyncio.create_task(
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


class World:
    """Allocators in north-a and south-a, and an entry VM in north-a."""

    def __init__(self, folder, shares, **options):
        self.folder = folder
        self.addresses = free_addresses(2)
        near, far = self.addresses
        self.copy = AlwaysFresh(
            make_state(
                vms=[
                    ("near", "north", "north-a", near),
                    ("far", "south", "south-a", far),
                    ("entry", "north", "north-a", "127.0.0.1:1"),
                ],
                shares=shares,
                allocators=[("north-a", "near", 1), ("south-a", "far", 1)],
            )
        )
        self.services = {}
        self.servers = []
        settings = make_settings("entry", folder, **options)
        self.channels = Channels(settings)
        self.limiter = Limiter(settings, self.copy, self.channels)

    async def start(self):
        places = [("near", "north"), ("far", "south")]
        for (name, region), address in zip(
            places, self.addresses, strict=True
        ):
            settings = make_settings(
                name, self.folder, region, peer__listen=address
            )
            allocator = ShareAllocator(
                settings, self.copy, f"{name}#1", time.monotonic()
            )
            allocator.share_epoch(time.monotonic())
            self.services[name] = AllocatorService(allocator)
            server = PeerServer(settings, [self.services[name]])
            await server.start()
            self.servers.append(server)
        self.running = asyncio.create_task(self.limiter.run())

    async def stop(self):
        self.running.cancel()
        self.channels.close()
        for server in self.servers:
            await server.stop()

    def admit(self, account="crew", wait_s=5.0):
        return self.limiter.admit(account, time.monotonic() + wait_s)

    async def admit_many(self, count, account="crew"):
        results = await asyncio.gather(
            *(self.admit(account) for _ in range(count))
        )
        return sum(result.is_ok() for result in results)


@pytest.fixture
async def make_world(tmp_path):
    worlds = []

    async def make(*shares, **options):
        world = World(tmp_path, shares, **options)
        worlds.append(world)
        await world.start()
        return world

    yield make
    for world in worlds:
        await world.stop()


async def test_requests_within_the_rate_are_admitted(make_world):
    """Guards against wrongful rejections below the rate."""
    world = await make_world(("north-a", 50.0, 10.0))
    await asyncio.sleep(0.1)
    for _ in range(30):
        assert (await world.admit()).is_ok()
        await asyncio.sleep(0.02)


async def test_a_small_burst_does_not_slow_the_rate(make_world):
    """Guards against spent tokens that count as outstanding until the lease
    ends: with a burst of 1 only one token a second would be given out."""
    world = await make_world(("north-a", 20.0, 1.0))
    started_at = time.monotonic()
    assert await world.admit_many(10) == 10
    assert time.monotonic() - started_at < 1.0


async def test_spending_on_one_vm_soon_frees_the_burst_for_another(make_world):
    """Guards against a spent token that counts as outstanding for its whole
    lease when no request of the same VM follows."""
    world = await make_world(("north-a", 20.0, 1.0))
    settings = make_settings("other", world.folder)
    other = Limiter(settings, world.copy, world.channels)
    assert (await world.admit()).is_ok()
    started_at = time.monotonic()
    assert (await other.admit("crew", started_at + 5)).is_ok()
    assert time.monotonic() - started_at < 0.7


async def test_what_is_above_the_rate_waits_and_is_then_refused(make_world):
    """Guards the wait limit: refused only after it, and not much later."""
    world = await make_world(("north-a", 10.0, 5.0))
    await asyncio.sleep(0.5)
    started_at = time.monotonic()
    admitted = await world.admit_many(60)
    elapsed_s = time.monotonic() - started_at
    assert 10 <= admitted <= 5 + 10 * elapsed_s + 1
    assert 0.9 <= elapsed_s < 1.5
    [demand] = world.limiter.pop_demand_samples(time.monotonic())
    assert demand.rate_per_s > demand.unmet_per_s > 0


async def test_a_deadline_before_the_wait_limit_holds(make_world):
    """Guards against requests that wait longer than their caller."""
    world = await make_world()
    started_at = time.monotonic()
    assert (await world.admit(wait_s=0.2)).is_err()
    assert time.monotonic() - started_at < 0.5


async def test_requests_are_admitted_in_order(make_world):
    """Guards against later requests that overtake waiting ones."""
    world = await make_world(("north-a", 40.0, 3.0))
    order = []

    async def admit(number):
        if (await world.admit()).is_ok():
            order.append(number)

    await asyncio.gather(*(admit(number) for number in range(20)))
    assert order == sorted(order)
    assert len(order) == 20


async def test_tokens_held_elsewhere_are_found(make_world):
    """Guards against refusals while another data centre has tokens."""
    world = await make_world(("north-a", 1.0, 1.0), ("south-a", 50.0, 20.0))
    await asyncio.sleep(0.4)
    assert await world.admit_many(15) == 15


@pytest.mark.parametrize("fault", ["silent", "gone"])
async def test_an_allocator_that_does_not_answer_is_passed_by(
    make_world, fault
):
    """Guards against an account that waits for a frozen or dead allocator
    while another has tokens."""
    world = await make_world(("north-a", 50.0, 20.0), ("south-a", 50.0, 20.0))
    await asyncio.sleep(0.4)
    if fault == "silent":
        world.services["near"].silent = True
    else:
        await world.servers[0].stop()
    assert await world.admit_many(10) == 10


async def test_a_lost_answer_costs_only_time(make_world):
    """Guards against tokens spent that were never received, and against a
    request that is refused because one answer was lost."""
    world = await make_world(("north-a", 50.0, 20.0))
    await asyncio.sleep(0.4)
    world.services["near"].lost = 1
    assert (await world.admit()).is_ok()


async def test_tokens_of_a_late_answer_are_not_lost(make_world):
    """Guards against refusals within the rate until the lease of tokens ends
    that a busy VM took no more."""
    world = await make_world(("north-a", 20.0, 1.0))
    await asyncio.sleep(0.4)
    world.services["near"].late = 1
    assert (await world.admit(wait_s=0.8)).is_ok()


async def test_call_without_answer_is_forgotten_once_another_is_answered(
    make_world,
):
    """Guards against failures that are counted again when the lease of a
    call ends whose answer was given up before."""
    world = await make_world(("north-a", 20.0, 1.0))
    await asyncio.sleep(0.4)
    world.services["near"].lost = 1
    assert (await world.admit(wait_s=0.2)).is_err()
    await asyncio.sleep(1.1)
    assert not world.limiter._client._failures


async def test_one_account_does_not_delay_another(make_world):
    """Guards the accounts within their rate against one far above it."""
    world = await make_world(("north-a", 5.0, 5.0))
    for data_centre in ("north-a", "south-a"):
        share = world.copy.state.shares[("crew", "north-a")]
        world.copy.state.shares[("clerks", data_centre)] = type(share)(
            "clerks", data_centre, 50.0, 10.0, 2
        )
    world.copy.state.revision += 1
    flood = asyncio.create_task(world.admit_many(500))
    await asyncio.sleep(0.3)
    slowest_s = 0.0
    for _ in range(10):
        started_at = time.monotonic()
        assert (await world.admit("clerks")).is_ok()
        slowest_s = max(slowest_s, time.monotonic() - started_at)
    assert slowest_s < 0.25
    assert await flood < 20


async def test_unspent_tokens_are_given_back(make_world):
    """Guards against tokens that expire on a VM with no more requests."""
    world = await make_world(("north-a", 20.0, 20.0))
    await asyncio.sleep(1.0)
    assert await world.admit_many(8) == 8
    assert world.services["near"].allocator._buckets["crew"].outstanding > 0
    await asyncio.sleep(0.9)
    held = sum(
        held.left for held in world.limiter._lines["crew"].held_tokens._held
    )
    assert held == 0


async def test_above_the_rate_is_refused_at_once_if_told_so(make_world):
    """Guards requests within the rate against waiting behind those above it:
    each served one would wait as long as the refused ones."""
    world = await make_world(
        ("north-a", 20.0, 5.0),
        ("south-a", 20.0, 5.0),
        limits__refill_wait_s="0",
    )
    await asyncio.sleep(0.4)
    waits_s = []

    async def admit():
        asked_at = time.monotonic()
        result = await world.admit()
        waits_s.append(time.monotonic() - asked_at)
        return result.is_ok()

    started_at = time.monotonic()
    calls = []
    for _ in range(100):
        calls.append(asyncio.create_task(admit()))
        await asyncio.sleep(0.01)
    admitted = sum(await asyncio.gather(*calls))
    elapsed_s = time.monotonic() - started_at
    # Half of the wait limit of 1 s; one round of calls takes some 10 ms.
    assert max(waits_s) < 0.5
    # Nearly all of both shares is used, and never more.
    assert 0.7 * (10 + 40 * elapsed_s) <= admitted <= 10 + 40 * elapsed_s + 1


async def test_an_allocator_that_fails_is_no_reason_to_refuse_at_once(
    make_world,
):
    """Guards against refusals by a VM that only cannot ask."""
    world = await make_world(
        ("north-a", 50.0, 20.0), limits__refill_wait_s="0"
    )
    await asyncio.sleep(0.4)
    world.services["near"].lost = 1
    assert (await world.admit()).is_ok()


async def test_refused_requests_do_not_wait_for_the_next_refill(make_world):
    """Guards against refusals that come late although all allocators have
    said that they hold no tokens: callers could have come again."""
    world = await make_world(
        ("north-a", 2.0, 1.0),
        ("south-a", 2.0, 1.0),
        limits__refill_wait_s="0",
    )
    await asyncio.sleep(0.6)
    waits_s = []

    async def admit():
        asked_at = time.monotonic()
        await world.admit()
        waits_s.append(time.monotonic() - asked_at)

    calls = []
    for _ in range(100):
        calls.append(asyncio.create_task(admit()))
        await asyncio.sleep(0.01)
    await asyncio.gather(*calls)
    # A round of calls takes some 10 ms here, a refill half a second.
    assert sum(wait_s > 0.1 for wait_s in waits_s) <= 5
