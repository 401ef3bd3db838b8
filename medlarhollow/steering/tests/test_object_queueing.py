"""Queueing of requests for the servers of their objects."""

import asyncio

import pytest

from medlarhollow import clock
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.membership import Directory
from medlarhollow.messages.records import Service
from medlarhollow.steering import AttemptResult
from medlarhollow.steering import Dispatcher
from medlarhollow.steering.servers.slot_tracker import SlotTracker

from .conftest import EntryVm
from .conftest import make_slot_request

LATENCY_S = 1.0


class FleetWideVm(EntryVm):
    """An entry VM that uses the servers of the whole fleet."""

    def __init__(self):
        self.settings = make_settings("near", backends__scope="fleet")
        self.directory = Directory(self.settings)
        state = make_state(vms=[("near", "north", "north-a", "h:1")])
        state.services["plots"] = Service(name="plots", version="1")
        self.dispatcher = Dispatcher(
            self.settings, FakeStateCache(state), self.directory, None
        )
        self.assignments = []

    def servers_of(self, name, now=0.0):
        ranking = self.slots.candidates("plots", "1", now).ranking
        return {
            ranking.servers[index].server_id
            for index in ranking.object_indexes(name)
        }

    @property
    def slots(self) -> SlotTracker:
        return self.dispatcher._slots


@pytest.fixture
def vm():
    vm = FleetWideVm()
    names = [f"s{number}" for number in range(12)]
    vm.announce(*names, slots=1, region="north", data_centre="north-a")
    return vm


async def saturate(vm, name):
    """Occupy all slots of an object's servers and queue one request."""
    for _ in range(2):
        assert (await vm.acquire(1.0, affinity=name)).is_ok()
    return asyncio.create_task(vm.acquire(1.0, affinity=name))


def find_disjoint_object(vm, name):
    """Return an object whose servers differ from those of another."""
    used = vm.servers_of(name)
    return next(
        other
        for other in map(str, range(1000))
        if not used & vm.servers_of(other)
    )


async def test_request_does_not_wait_behind_other_objects(vm):
    waiting = await saturate(vm, "x")
    await asyncio.sleep(0)
    other_request = asyncio.create_task(
        vm.acquire(1.0, affinity=find_disjoint_object(vm, "x"))
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert other_request.done()
    assert other_request.result().is_ok()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)


async def test_request_is_not_rejected_because_of_other_objects(vm):
    """In a large fleet each VM has few requests in flight, and one that waits
    for a busy server must not raise the expected wait of the others."""
    first = (await vm.acquire(1.0, affinity="x")).ok_value
    vm.release(first, AttemptResult.OK, LATENCY_S)
    waiting = await saturate(vm, "x")
    await asyncio.sleep(0)
    disjoint = find_disjoint_object(vm, "x")
    for _ in range(2):
        # A deadline of one mean latency is just long enough.
        result = await vm.dispatcher.acquire(
            make_slot_request(LATENCY_S, affinity=disjoint)
        )
        assert result.is_ok()
    late = asyncio.create_task(
        vm.dispatcher.acquire(make_slot_request(0.9, affinity=disjoint))
    )
    await asyncio.sleep(0.05)
    # No request is ahead of it, so it waits for its servers.
    assert not late.done()
    for task in (waiting, late):
        task.cancel()
    await asyncio.gather(waiting, late, return_exceptions=True)


async def test_only_servers_with_waiting_requests_are_reported(vm):
    """Other VMs limit themselves to their share of the slots of reported
    servers, so reporting others would waste slots."""
    waiting = await saturate(vm, "x")
    await asyncio.sleep(0)
    load = vm.dispatcher.local_load(clock.monotonic())
    assert load.in_demand == vm.servers_of("x")
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    await asyncio.sleep(0.15)
    assert vm.dispatcher.local_load(clock.monotonic()).in_demand == set()
