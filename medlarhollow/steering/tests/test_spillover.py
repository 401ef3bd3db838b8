"""Spillover of requests to other data centres on credit."""

import asyncio

import attrs

from medlarhollow import clock
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import ExchangeUpdate
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import Shift
from medlarhollow.messages.records import Vm

from .conftest import state_of


async def test_requests_over_capacity_spill_over_on_credit(entry_vms):
    """The other data centre receives only as many as it granted."""
    near, far = entry_vms
    near.announce("a", slots=2)
    far.announce("z", slots=3)
    results = await asyncio.gather(*(near.acquire(1.0) for _ in range(8)))
    assignments = [result.ok_value for result in results if result.is_ok()]
    assert sum(not item.remote for item in assignments) == 2
    remote = [item for item in assignments if item.remote]
    assert len(remote) == 3
    assert {item.server.address for item in remote} == {"callers.far:80"}
    assert all(item.credit_id for item in remote)


async def test_a_forwarded_request_is_never_forwarded_again(entry_vms):
    """Guards against forwarding loops between data centres."""
    near, far = entry_vms
    near.announce("a", slots=1)
    far.announce("z", slots=5)
    await near.acquire()
    assert (await near.acquire(1.0)).ok_value.remote
    failure = (await near.acquire(0.4, local_only=True)).err_value
    assert failure.kind is ErrorKind.DEADLINE_EXCEEDED


async def test_requests_spill_over_without_local_servers(entry_vms):
    """Guards callers of a data centre that has lost all servers."""
    near, far = entry_vms
    far.announce("z", slots=5)
    assert (await near.acquire(2.0)).ok_value.remote


async def test_requests_spill_over_within_their_home_regions(entry_vms):
    """Guards data that must not leave its regions."""
    near, far = entry_vms
    far.announce("z", slots=5)
    homes = frozenset({"south"})
    spilled = (await near.acquire(2.0, home_regions=homes)).ok_value
    assert spilled.remote
    for homes in (frozenset({"north"}), frozenset()):
        kept = await near.acquire(0.4, home_regions=homes)
        assert kept.is_err()


async def test_expired_credit_is_not_spent(entry_vms):
    """Guards the granting side against holders that cannot renew."""
    near, far = entry_vms
    near.announce("a", slots=1)
    far.announce("z", slots=5)
    await near.acquire()
    remote = (await near.acquire(1.0)).ok_value
    assert remote.remote
    near.release(remote)
    far.service.is_silent = True
    await asyncio.sleep(2.1)
    near.announce("a", slots=1)
    failure = (await near.acquire(0.5)).err_value
    assert failure.kind is ErrorKind.DEADLINE_EXCEEDED


async def test_credit_of_a_delayed_response_is_used(entry_vms):
    """Without this, slots granted by a slow VM stay unused until the lease
    expires, because the requester has stopped waiting for the response."""
    near, far = entry_vms
    far.announce("z", slots=1)
    far.service.delay_s = 0.7
    assert (await near.acquire(1.2)).ok_value.remote


async def test_preset_sends_its_fraction_to_another_region(entry_vms):
    """During a shift, base x (1 - fraction) + target x fraction of new
    requests leave the region even if it has free slots."""
    near, far = entry_vms
    near.announce("a", slots=100)
    far.announce("z", slots=400)
    weights = (
        RegionWeight("north", "north", 0.2),
        RegionWeight("north", "south", 0.8),
    )
    state = state_of(near)
    state.presets["shift"] = Preset(name="shift", weights=weights)
    state.shift = Shift(preset="shift", fraction=0.5)
    remote = 0
    for number in range(600):
        assignment = (await near.acquire()).ok_value
        near.release(assignment)
        if number >= 200:
            remote += assignment.remote
        await asyncio.sleep(0.001)
    assert 0.25 < remote / 400 < 0.55


async def test_granted_credit_excludes_slots_in_use(entry_vms):
    """Guards a busy data centre against granting credit for used slots."""
    near, far = entry_vms
    far.announce("z", slots=2)
    for _ in range(2):
        await far.acquire(local_only=True)
    far.announce("y", slots=2)
    update = attrs.evolve(
        ExchangeUpdate(vm=Vm(name="mate", incarnation="1"), sequence=1),
        servers=(BackendServer(server_id="y", in_flight=2),),
    )
    far.directory.merge(update, clock.monotonic())
    assert (await near.acquire(0.5)).is_err()
    assert far.service.request_count
