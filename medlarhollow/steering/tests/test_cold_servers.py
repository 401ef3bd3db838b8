"""Requests that a whole fleet sends to one cold server, in virtual time."""

import attrs
import pytest

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.entry.registry import register_server
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.membership import Directory
from medlarhollow.membership import LocalLoad
from medlarhollow.membership.updates import OutgoingUpdates
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import EndEvacuation
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import StartEvacuation
from medlarhollow.messages.records import Vm
from medlarhollow.steering import AttemptResult
from medlarhollow.steering.servers.slot_tracker import SlotTracker

VMS = 20
RATE_PER_S = 6.1
# Requests that a cold server bears in any second, from all VMs together.
BOUND = RATE_PER_S * 1.5 + 5
HEARTBEAT_S = 1.5
LEASE_S = 4 * HEARTBEAT_S
COLD_S = 3.0
TICK_S = 0.05
SERVER = BackendServer(
    server_id="s1",
    service="plots",
    version="1",
    address="127.0.0.1:9",
    slots=100,
    sequence=1,
    started_at_ms=1000,
    data_centre="north-a",
    region="north",
)


def make_fleet_settings(name):
    return make_settings(
        name,
        backends__scope="fleet",
        backends__lease_s=LEASE_S,
        backends__open_announcements="yes",
    )


def copy_state(state):
    """Return the state as a VM has it that receives a snapshot now."""
    return FleetState.from_snapshot(state.snapshot())


@attrs.define
class Registry:
    """A VM that accepts announcements."""

    state_cache: FakeStateCache
    settings: object = attrs.field(factory=lambda: make_fleet_settings("core"))
    directory: Directory = attrs.field(
        default=attrs.Factory(
            lambda self: Directory(self.settings), takes_self=True
        )
    )

    def announce(self, server, now):
        self.state_cache.proof_at = now
        assert register_server(self, server, now).is_ok()


class EntryVm:
    """An entry VM that has as many requests as it may send."""

    def __init__(self, name, state):
        settings = make_fleet_settings(name)
        self.state = state
        self.directory = Directory(settings)
        self.slots = SlotTracker(
            settings, self.directory, FakeStateCache(state)
        )
        self._updates = OutgoingUpdates()

    def receive_update(self, registry, now):
        update = self._updates.next_update(
            Vm("core", "core#1"), registry.directory, LocalLoad(), now
        )
        update = attrs.evolve(update, vm=Vm("core", "core#1"))
        self.directory.merge(update, now)

    def send(self, now, result=AttemptResult.OK):
        """Send a request to the server unless it must wait."""
        for candidate in self.slots.candidates("plots", "1", now):
            if candidate.free_slots > 0:
                self.slots.acquire(candidate.view, now)
                self.slots.release(candidate.view.server, "1", result, now)
                return True
        return False


class Fleet:
    """Entry VMs, a registry, and what their requests add up to."""

    def __init__(self, roster=VMS):
        self.state = make_state(
            vms=[
                (f"e{number}", "north", "north-a", "127.0.0.1:1")
                for number in range(roster)
            ]
        )
        self.state.services["plots"] = Service(
            "plots", version="1", cold_rate_per_s=RATE_PER_S
        )
        self.registry = Registry(FakeStateCache(self.state))
        self.registry.announce(SERVER, 0.0)
        self.vms = [EntryVm(f"e{number}", self.state) for number in range(VMS)]
        self.sent = []
        self.update_all(0.0)

    def update_all(self, now):
        for vm in self.vms:
            vm.receive_update(self.registry, now)

    def change(self, body, now):
        assert apply(body, self.state, now).is_ok()

    def send_until(self, start, end, tick_s=TICK_S):
        """Let all VMs send as often as they may."""
        for tick in range(round((end - start) / tick_s)):
            now = start + tick * tick_s
            self.sent += [now for vm in self.vms if vm.send(now)]

    def most_in_a_second(self, start, end):
        return max(
            sum(first <= at < first + 1.0 for at in self.sent if at < end)
            for first in [start, *self.sent]
            if start <= first < end
        )


def test_warm_server_is_not_limited():
    fleet = Fleet()
    fleet.send_until(0.0, 1.0)
    assert fleet.most_in_a_second(0.0, 1.0) == VMS / TICK_S


@pytest.mark.parametrize("restarted", [1, 12])
def test_vms_that_start_after_an_evacuation_do_not_flood_its_servers(
    restarted,
):
    """Guards servers that turned cold as their evacuation ended."""
    fleet = Fleet()
    fleet.change(StartEvacuation("north-a"), 0.1)
    fleet.send_until(0.1, 1.5)
    fleet.registry.announce(attrs.evolve(SERVER, sequence=2), 1.5)
    assert not fleet.sent
    fleet.change(EndEvacuation("north-a"), 1.6)
    fleet.vms[:restarted] = [
        EntryVm(f"e{number}", copy_state(fleet.state))
        for number in range(restarted)
    ]
    fleet.update_all(1.6)
    fleet.send_until(1.6, 3.0)
    cold = attrs.evolve(SERVER, sequence=3, cold_left_s=COLD_S - 1.4)
    fleet.registry.announce(cold, 3.0)
    fleet.update_all(3.2)
    fleet.send_until(3.2, 1.6 + COLD_S)
    assert 0 < fleet.most_in_a_second(1.6, 1.6 + COLD_S) <= BOUND


def test_vm_that_thaws_after_an_evacuation_does_not_flood_its_servers():
    """Guards servers of an evacuation that a VM missed from its start."""
    fleet = Fleet()
    before = copy_state(fleet.state)
    after = copy_state(fleet.state)
    for change in (StartEvacuation("north-a"), EndEvacuation("north-a")):
        assert apply(change, after, 1.6).is_ok()
    cache = FakeStateCache(before)
    vm = fleet.vms[0]
    vm.slots = SlotTracker(make_fleet_settings("e0"), vm.directory, cache)
    assert vm.send(0.5)
    cache.state = after
    fleet.vms = [vm]
    fleet.send_until(1.7, 2.7)
    assert fleet.most_in_a_second(1.7, 2.7) <= BOUND


@pytest.mark.parametrize("isolated", [3, 10, 17])
def test_both_sides_of_a_partition_together_stay_within_the_bound(isolated):
    """Guards cold servers against two sets of senders at the same time."""
    fleet = Fleet()
    old_state = copy_state(fleet.state)
    cold = attrs.evolve(SERVER, sequence=2, cold_left_s=COLD_S)
    fleet.registry.announce(cold, 1.5)
    fleet.update_all(1.5)
    by_rank = sorted(
        fleet.vms, key=lambda vm: not vm.slots._pacer.may_send(SERVER, 0.0)
    )
    for vm in by_rank[:isolated]:
        name = f"e{fleet.vms.index(vm)}"
        del fleet.state.vms[name]
        vm.slots = SlotTracker(
            make_fleet_settings(name), vm.directory, FakeStateCache(old_state)
        )
    fleet.state.roster_changes += 1
    fleet.registry.announce(attrs.evolve(cold, sequence=3), 1.6)
    for vm in by_rank[isolated:]:
        vm.receive_update(fleet.registry, 1.7)
    fleet.send_until(1.7, 1.5 + COLD_S, tick_s=0.005)
    assert 0 < fleet.most_in_a_second(1.7, 1.5 + COLD_S) <= BOUND


def test_vm_without_updates_does_not_flood_a_server_that_turned_cold():
    """Guards cold servers against VMs that were partitioned or frozen."""
    fleet = Fleet()
    isolated = fleet.vms[:10]
    fleet.vms = fleet.vms[10:]
    for second in range(1, 5):
        fleet.registry.announce(
            attrs.evolve(
                SERVER,
                sequence=second + 1,
                cold_left_s=COLD_S if second == 4 else 0.0,
            ),
            float(second),
        )
        fleet.update_all(float(second))
    fleet.vms += isolated
    fleet.send_until(4.0, 4.0 + COLD_S)
    assert 0 < fleet.most_in_a_second(4.0, 4.0 + COLD_S) <= BOUND


def test_server_whose_announcements_stop_is_not_flooded_after_a_restart():
    """Guards a server that restarts while it cannot reach a registry."""
    fleet = Fleet()
    for second in range(1, 5):
        fleet.update_all(float(second))
    fleet.send_until(4.0, 5.0)
    assert 0 < fleet.most_in_a_second(4.0, 5.0) <= BOUND


def test_unreachable_server_is_not_flooded_when_it_returns():
    """Guards a server that restarts between two of its announcements."""
    fleet = Fleet()
    for vm in fleet.vms:
        assert vm.send(0.2, AttemptResult.NOT_SENT)
    fleet.send_until(0.5, 1.5)
    assert 0 < fleet.most_in_a_second(0.5, 1.5) <= BOUND
    restarted = attrs.evolve(SERVER, started_at_ms=2000)
    fleet.registry.announce(restarted, 1.6)
    fleet.update_all(1.7)
    fleet.sent.clear()
    fleet.send_until(1.7, 2.0)
    assert len(fleet.sent) > BOUND


def test_server_that_turns_cold_is_reported_at_once():
    """Guards servers that turn cold without a restart."""
    fleet = Fleet()
    urgent = []
    fleet.registry.directory.subscribe(lambda: urgent.append(1))
    fleet.registry.announce(attrs.evolve(SERVER, sequence=2), 1.5)
    assert not urgent
    cold = attrs.evolve(SERVER, sequence=3, cold_left_s=COLD_S)
    fleet.registry.announce(cold, 3.0)
    assert urgent
