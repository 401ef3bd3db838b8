"""Slots, the queue and spill, as requests see them."""

import asyncio
import collections
import time

import attrs
import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.limits.tests.support import StandInCopy
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.membership import Directory
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import ExchangeUpdate
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import Priority
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import Route
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import Shift
from medlarhollow.messages.records import Vm
from medlarhollow.messages.services import FleetBase
from medlarhollow.steering import AttemptResult
from medlarhollow.steering import Demand
from medlarhollow.steering import Dispatcher
from medlarhollow.transport import Channels
from medlarhollow.transport import PeerServer


class CreditService(FleetBase):
    def __init__(self, dispatcher):
        self.dispatcher = dispatcher
        self.asked = 0
        self.silent = False

    async def AcquireCredit(self, stream):
        request = await stream.recv_message()
        self.asked += 1
        if self.silent:
            await asyncio.sleep(60)
        await stream.send_message(
            self.dispatcher.grant_credit(request, time.monotonic())
        )

    async def Sync(self, stream):
        raise NotImplementedError

    async def Exchange(self, stream):
        raise NotImplementedError

    async def AcquireTokens(self, stream):
        raise NotImplementedError


class Site:
    """An entry VM with its dispatcher, and a server for credit."""

    def __init__(self, folder, name, region, data_centre, address, state):
        self.settings = make_settings(
            name,
            folder,
            region,
            data_centre,
            peer__listen=address,
            entry__queue_limit="50",
        )
        self.directory = Directory(self.settings)
        self.channels = Channels(self.settings)
        copy = StandInCopy(state, proof_at=time.monotonic())
        self.dispatcher = Dispatcher(
            self.settings, copy, self.directory, self.channels
        )
        self.service = CreditService(self.dispatcher)
        self.server = PeerServer(self.settings, [self.service])
        self.held = []

    async def start(self):
        await self.server.start()
        self.running = asyncio.create_task(self.dispatcher.run())

    async def stop(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        self.channels.close()
        await self.server.stop()

    def announce(self, *names, slots=2, version="1", **more):
        for name in names:
            server = BackendServer(
                server_id=name,
                service="plots",
                version=version,
                address="127.0.0.1:9",
                slots=slots,
                **more,
            )
            self.directory.announce(server, time.monotonic())

    async def acquire(self, wait_s=0.3, **more):
        result = await self.dispatcher.acquire(make_demand(wait_s, **more))
        if result.is_ok():
            self.held.append(result.ok_value)
        return result

    def release(self, assignment, result=AttemptResult.OK, latency_s=0.05):
        self.held.remove(assignment)
        self.dispatcher.release(
            assignment, result, latency_s, time.monotonic()
        )


def make_demand(wait_s=0.3, priority=Priority.ORDINARY, **more):
    values = {
        "route": Route(service="plots", priority=priority),
        "account": "crew",
        "deadline_at": time.monotonic() + wait_s,
        "point": 0.9,
        **more,
    }
    return Demand(**values)


@pytest.fixture
async def sites(tmp_path):
    near, far = free_addresses(2)
    state = make_state(
        vms=[
            ("near", "north", "north-a", near),
            ("far", "south", "south-a", far),
        ]
    )
    state.services["plots"] = Service(name="plots", version="1")
    made = [
        Site(tmp_path, "near", "north", "north-a", near, state),
        Site(tmp_path, "far", "south", "south-a", far, state),
    ]
    for site in made:
        await site.start()
    yield made
    for site in made:
        await site.stop()


def state_of(site):
    return site.dispatcher._copy.state


async def test_never_more_in_flight_than_slots(sites):
    """Guards invariant 2 within the data centre."""
    near, _ = sites
    near.announce("a", "b", slots=3)
    in_flight = collections.Counter()
    worst = collections.Counter()

    async def request():
        result = await near.acquire(5.0, local_only=True)
        name = result.ok_value.server.server_id
        in_flight[name] += 1
        worst[name] = max(worst[name], in_flight[name])
        await asyncio.sleep(0.01)
        in_flight[name] -= 1
        near.release(result.ok_value)

    await asyncio.gather(*(request() for _ in range(40)))
    assert worst == {"a": 3, "b": 3}
    assert near.dispatcher.own_load(time.monotonic()).in_flight == {}


async def test_slots_in_use_by_other_vms_are_not_given(sites):
    """Guards servers against VMs that each count only their own."""
    near, _ = sites
    near.announce("a", slots=4)
    update = ExchangeUpdate(
        vm=Vm(name="mate", incarnation="1"),
        sequence=1,
        servers=(BackendServer(server_id="a", in_flight=3),),
    )
    near.directory.merge(update, time.monotonic())
    assert (await near.acquire(local_only=True)).is_ok()
    failure = (await near.acquire(local_only=True)).err_value
    assert failure.kind is ErrorKind.DEADLINE_EXCEEDED


async def test_a_waiting_request_gets_the_slot_that_is_released(sites):
    """Guards the queue: the next slot goes to the request that waits."""
    near, _ = sites
    near.announce("a", slots=1)
    first = (await near.acquire()).ok_value
    waiting = asyncio.create_task(near.acquire(5.0, local_only=True))
    await asyncio.sleep(0.05)
    near.release(first)
    assert (await waiting).is_ok()


@pytest.mark.parametrize("moment", ["waiting", "leaving", "granted"])
async def test_a_cancelled_request_keeps_no_slot(sites, moment):
    """Guards slots against callers that go away, also in the moment in
    which the slot is given."""
    near, _ = sites
    near.announce("a", slots=1)
    first = (await near.acquire()).ok_value
    waiting = asyncio.create_task(near.acquire(5.0, local_only=True))
    await asyncio.sleep(0.05)
    if moment == "granted":
        near.release(first)
        waiting.cancel()
    elif moment == "leaving":
        waiting.cancel()
        near.release(first)
    else:
        waiting.cancel()
        await asyncio.sleep(0.01)
        near.release(first)
    await asyncio.gather(waiting, return_exceptions=True)
    assert near.dispatcher.own_load(time.monotonic()).in_flight == {}
    assert (await near.acquire()).is_ok()


async def test_requests_that_cannot_meet_their_deadline_are_shed(sites):
    """Guards against a queue of requests that all come too late."""
    near, _ = sites
    near.announce("a", slots=1)
    for _ in range(3):
        held = (await near.acquire()).ok_value
        near.release(held, latency_s=0.4)
    await near.acquire()
    waiting = [
        asyncio.create_task(near.acquire(5.0, local_only=True))
        for _ in range(3)
    ]
    await asyncio.sleep(0.02)
    started_at = time.monotonic()
    failure = (await near.acquire(1.0, local_only=True)).err_value
    assert failure.kind is ErrorKind.OVERLOADED
    assert time.monotonic() - started_at < 0.2
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


async def test_urgent_requests_pass_and_accounts_take_turns(sites):
    """Guards the order in which slots are given."""
    near, _ = sites
    near.announce("a", slots=1)
    first = (await near.acquire()).ok_value
    order = []

    async def request(account, priority=Priority.ORDINARY):
        result = await near.acquire(
            5.0, priority=priority, account=account, local_only=True
        )
        order.append(account)
        near.release(result.ok_value, latency_s=0.001)

    tasks = [asyncio.create_task(request("flood")) for _ in range(6)]
    await asyncio.sleep(0.02)
    tasks.append(asyncio.create_task(request("crew")))
    tasks.append(asyncio.create_task(request("clerk", Priority.URGENT)))
    await asyncio.sleep(0.02)
    near.release(first)
    await asyncio.gather(*tasks)
    assert order[0] == "clerk"
    assert "crew" in order[1:3]


@pytest.mark.parametrize("excluded", [True, False])
async def test_without_a_server_the_answer_is_no_backend(sites, excluded):
    """Guards retries: a request for which nothing is left does not wait."""
    near, _ = sites
    if excluded:
        near.announce("a")
    started_at = time.monotonic()
    failure = (
        await near.acquire(5.0, excluded=frozenset({"a"}), local_only=True)
    ).err_value
    assert failure.kind is ErrorKind.NO_BACKEND
    assert time.monotonic() - started_at < 0.2


async def test_a_leaving_server_gets_no_new_work(sites):
    """Guards invariant 11 for requests that wait already."""
    near, _ = sites
    near.announce("a", "b", slots=1)
    held = [(await near.acquire()).ok_value for _ in range(2)]
    near.announce("a", slots=1, leaving=True)
    waiting = asyncio.create_task(near.acquire(1.0, local_only=True))
    for one in held:
        if one.server.server_id == "a":
            near.release(one)
    await asyncio.sleep(0.1)
    assert not waiting.done()
    waiting.cancel()


async def test_a_new_version_without_servers_gives_way(sites):
    """Guards requests in a move whose new servers are gone."""
    near, _ = sites
    near.announce("a")
    state_of(near).moves["m"] = Move(
        move_id="m",
        service="plots",
        from_version="1",
        to_version="2",
        fraction=1.0,
        deadline_s=time.time() + 3600,
    )
    state_of(near).revision += 1
    near.dispatcher._copy.proof_at = time.monotonic()
    assert (await near.acquire()).ok_value.version == "1"
    near.announce("n", version="2")
    assert (await near.acquire()).ok_value.version == "2"


async def test_a_failing_server_is_ejected(sites):
    """Guards callers against a server that answers with errors at once and
    so always has free slots."""
    near, _ = sites
    near.announce("bad", "a", "b", "c", slots=8)
    for _ in range(60):
        held = (await near.acquire()).ok_value
        is_bad = held.server.server_id == "bad"
        result = AttemptResult.ERROR if is_bad else AttemptResult.OK
        near.release(held, result)
    later = [(await near.acquire()).ok_value for _ in range(12)]
    assert all(one.server.server_id != "bad" for one in later)


async def test_requests_over_capacity_go_elsewhere_on_credit(sites):
    """Guards spill: only what the other data centre granted goes there."""
    near, far = sites
    near.announce("a", slots=2)
    far.announce("z", slots=3)
    results = await asyncio.gather(*(near.acquire(1.0) for _ in range(8)))
    given = [result.ok_value for result in results if result.is_ok()]
    assert sum(not one.remote for one in given) == 2
    remote = [one for one in given if one.remote]
    assert len(remote) == 3
    assert {one.server.address for one in remote} == {"callers.far:80"}
    assert all(one.credit_id for one in remote)


async def test_a_forwarded_request_is_never_forwarded_again(sites):
    """Guards against requests that travel between data centres."""
    near, far = sites
    near.announce("a", slots=1)
    far.announce("z", slots=5)
    await near.acquire()
    assert (await near.acquire(1.0)).ok_value.remote
    failure = (await near.acquire(0.4, local_only=True)).err_value
    assert failure.kind is ErrorKind.DEADLINE_EXCEEDED


async def test_without_local_servers_requests_go_elsewhere(sites):
    """Guards a data centre whose servers all died."""
    near, far = sites
    far.announce("z", slots=5)
    assert (await near.acquire(2.0)).ok_value.remote


async def test_lapsed_credit_is_not_spent(sites):
    """Guards the granting side when it can no longer be asked."""
    near, far = sites
    near.announce("a", slots=1)
    far.announce("z", slots=5)
    await near.acquire()
    remote = (await near.acquire(1.0)).ok_value
    assert remote.remote
    near.release(remote)
    far.service.silent = True
    await asyncio.sleep(2.1)
    near.announce("a", slots=1)
    failure = (await near.acquire(0.5)).err_value
    assert failure.kind is ErrorKind.DEADLINE_EXCEEDED


async def test_the_preset_sends_its_part_to_another_region(sites):
    """Guards shifts of presets: base x (1 - fraction) + target x fraction
    of new work goes elsewhere although there are free slots here."""
    near, far = sites
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
        held = (await near.acquire()).ok_value
        near.release(held)
        if number >= 200:
            remote += held.remote
        await asyncio.sleep(0.001)
    assert 0.25 < remote / 400 < 0.55


async def test_credit_counts_requests_that_wait_there(sites):
    """Guards a data centre that is busy itself against granting credit."""
    near, far = sites
    far.announce("z", slots=2)
    for _ in range(2):
        await far.acquire(local_only=True)
    far.announce("y", slots=2)
    update = attrs.evolve(
        ExchangeUpdate(vm=Vm(name="mate", incarnation="1"), sequence=1),
        servers=(BackendServer(server_id="y", in_flight=2),),
    )
    far.directory.merge(update, time.monotonic())
    assert (await near.acquire(0.5)).is_err()
    assert far.service.asked
