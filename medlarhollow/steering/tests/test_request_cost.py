"""Cost of a request on an entry VM, in small and large fleets."""

import sys

import pytest

from medlarhollow import clock
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.membership import Directory
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ExchangeUpdate
from medlarhollow.messages.records import Route
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import Vm
from medlarhollow.steering import AttemptResult
from medlarhollow.steering import Dispatcher
from medlarhollow.steering import SlotRequest

REQUESTS = 40
# Interval between requests at an entry VM of a large fleet.
REQUEST_INTERVAL_S = 0.06


class Fleet:
    """An entry VM in a fleet with `peers` other VMs and `servers` servers."""

    def __init__(self, servers, peers, cold_left_s=0.0):
        self.now = 1000.0
        names = [f"vm-{number}" for number in range(peers)]
        state = make_state(
            vms=[(name, "north", "north-a", "h:1") for name in names]
        )
        state.services["plots"] = Service(
            name="plots", version="1", cold_rate_per_s=3.8
        )
        # Requests are counted for 2.4 s without a renewal of the leases.
        settings = make_settings(
            "e1", backends__scope="fleet", backends__lease_s=6.0
        )
        self.directory = Directory(settings)
        self.dispatcher = Dispatcher(
            settings, FakeStateCache(state, 1000.0), self.directory, None
        )
        self.peers = names
        self.servers = [
            BackendServer(
                server_id=f"s-{number}",
                service="plots",
                version="1",
                address=f"h:{number}",
                slots=6,
                sequence=1,
                region="north",
                data_centre="north-a",
                started_at_ms=1,
                cold_left_s=cold_left_s,
            )
            for number in range(servers)
        ]
        self.sequence = 0
        self.receive_updates()

    def receive_updates(self):
        """Merge an announcement of each server and an update of each peer."""
        for server in self.servers:
            self.directory.announce(server, self.now)
        self.sequence += 1
        for name in self.peers:
            vm = Vm(name=name, data_centre="north-a", caller_address="h:1")
            load = BackendServer(
                server_id=self.servers[self.sequence].server_id, in_flight=1
            )
            self.directory.merge(
                ExchangeUpdate(vm, self.sequence, (load,)), self.now
            )

    async def serve(self, number):
        """Serve one request for an object."""
        self.now += REQUEST_INTERVAL_S
        slot_request = SlotRequest(
            route=Route(service="plots"),
            account="crew",
            deadline_at=self.now + 1.0,
            split_point=0.9,
            affinity=f"object-{number % 4}",
        )
        result = await self.dispatcher.acquire(slot_request)
        assert result.is_ok(), result
        self.dispatcher.release(
            result.ok_value, AttemptResult.OK, 0.3, self.now
        )


class CallCounter:
    """Count the function calls in a block."""

    def __enter__(self):
        self.calls = 0
        sys.setprofile(self._count_event)
        return self

    def __exit__(self, *details):
        sys.setprofile(None)

    def _count_event(self, frame, event, argument):
        self.calls += event in ("call", "c_call")


@pytest.fixture
def make_fleet(monkeypatch):
    def make(*sizes, **options):
        fleet = Fleet(*sizes, **options)
        monkeypatch.setattr(clock, "monotonic", lambda: fleet.now)
        return fleet

    return make


async def count_calls(fleet):
    for number in range(REQUESTS):
        await fleet.serve(number)
    fleet.receive_updates()
    with CallCounter() as counter:
        for number in range(REQUESTS):
            await fleet.serve(number)
    return counter.calls


async def test_cost_of_a_request_is_independent_of_fleet_size(
    make_fleet,
):
    small = await count_calls(make_fleet(24, 3))
    large = await count_calls(make_fleet(240, 30))
    assert large < 2 * small


async def test_cost_of_the_local_load_is_independent_of_servers(
    make_fleet,
):
    """The local load is measured for the streams to all other VMs."""

    async def count(servers):
        fleet = make_fleet(servers, 3)
        await fleet.serve(0)
        with CallCounter() as counter:
            for _ in range(10):
                fleet.now += 0.2
                fleet.dispatcher.local_load(fleet.now)
        return counter.calls

    assert await count(240) < 2 * await count(24)


async def test_cost_of_a_cold_server_is_independent_of_vms(make_fleet):
    def count(servers, peers):
        fleet = make_fleet(servers, peers, cold_left_s=3600.0)
        slots = fleet.dispatcher._slots
        slots.candidates("plots", "1", fleet.now)[0]
        with CallCounter() as counter:
            for _ in range(REQUESTS):
                fleet.now += REQUEST_INTERVAL_S
                slots.candidates("plots", "1", fleet.now)[0]
        return counter.calls

    assert count(240, 30) < 2 * count(24, 3)


async def test_local_load_does_not_scan_servers_for_each_peer(
    make_fleet,
):
    async def count(servers, peers):
        fleet = make_fleet(servers, peers)
        await fleet.serve(0)
        fleet.now += 1.0
        fleet.receive_updates()
        with CallCounter() as counter:
            for _ in fleet.peers:
                fleet.dispatcher.local_load(fleet.now)
        return counter.calls

    small, large = await count(24, 3), await count(240, 30)
    # Ten times the servers and ten times the streams.
    assert large < 2 * 10 * small
