"""Requests that wait for the servers of their objects."""

import asyncio
import time

import pytest

from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.membership import Directory
from medlarhollow.messages.records import Service
from medlarhollow.steering import AttemptResult
from medlarhollow.steering import Dispatcher
from medlarhollow.steering.slots import Slots

from .conftest import make_demand
from .conftest import Site

LATENCY_S = 1.0


class FleetSite(Site):
    """An entry VM that uses the servers of the whole fleet."""

    def __init__(self):
        self.settings = make_settings("near", backends__scope="fleet")
        self.directory = Directory(self.settings)
        state = make_state(vms=[("near", "north", "north-a", "h:1")])
        state.services["plots"] = Service(name="plots", version="1")
        self.dispatcher = Dispatcher(
            self.settings, FakeStateCache(state), self.directory, None
        )
        self.held = []

    def servers_of(self, name, now=0.0):
        ranking = self.slots.candidates("plots", "1", now).ranking
        return {
            ranking.servers[place].server_id
            for place in ranking.own_places(name)
        }

    @property
    def slots(self) -> Slots:
        return self.dispatcher._slots


@pytest.fixture
def site():
    site = FleetSite()
    names = [f"s{number}" for number in range(12)]
    site.announce(*names, slots=1, region="north", data_centre="north-a")
    return site


async def fill(site, name):
    """Take all slots of an object's servers, and let one request wait."""
    for _ in range(2):
        assert (await site.acquire(1.0, affinity=name)).is_ok()
    return asyncio.create_task(site.acquire(1.0, affinity=name))


def find_apart(site, name):
    """Return an object that shares no server with another one."""
    taken = site.servers_of(name)
    return next(
        other
        for other in map(str, range(1000))
        if not taken & site.servers_of(other)
    )


async def test_request_does_not_wait_behind_those_of_other_objects(site):
    waiting = await fill(site, "x")
    await asyncio.sleep(0)
    taken = asyncio.create_task(
        site.acquire(1.0, affinity=find_apart(site, "x"))
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert taken.done()
    assert taken.result().is_ok()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)


async def test_request_is_not_refused_for_waits_of_other_objects(site):
    """Guards a fleet of many VMs, each of which has few requests in flight:
    one that waits for a busy server says nothing of the others."""
    first = (await site.acquire(1.0, affinity="x")).ok_value
    site.release(first, AttemptResult.OK, LATENCY_S)
    waiting = await fill(site, "x")
    await asyncio.sleep(0)
    apart = find_apart(site, "x")
    for _ in range(2):
        # As long as the mean latency, so it may just be answered.
        taken = await site.dispatcher.acquire(
            make_demand(LATENCY_S, affinity=apart)
        )
        assert taken.is_ok()
    late = asyncio.create_task(
        site.dispatcher.acquire(make_demand(0.9, affinity=apart))
    )
    await asyncio.sleep(0.05)
    # Nobody is ahead of it, so it waits for its own servers.
    assert not late.done()
    for task in (waiting, late):
        task.cancel()
    await asyncio.gather(waiting, late, return_exceptions=True)


async def test_only_the_servers_that_are_waited_for_are_told_as_wanted(site):
    """Guards the slots of all other servers, of which each VM keeps to its
    part while another one waits for them."""
    waiting = await fill(site, "x")
    await asyncio.sleep(0)
    load = site.dispatcher.own_load(time.monotonic())
    assert load.wanted == site.servers_of("x")
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    await asyncio.sleep(0.15)
    assert site.dispatcher.own_load(time.monotonic()).wanted == set()
