"""One division of objects for all VMs of a region."""

import attrs
import pytest

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.membership import Directory
from medlarhollow.messages.codec import decode
from medlarhollow.messages.codec import encode
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Division
from medlarhollow.messages.records import RegionSteps
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import SetDivision
from medlarhollow.messages.records import StateSnapshot
from medlarhollow.steering.placement.rendezvous import RendezvousRanking
from medlarhollow.steering.regions.fleet_balancing import make_balancer
from medlarhollow.steering.regions.region_balancing import count_region_slots
from medlarhollow.steering.servers.slot_tracker import SlotTracker

POOL = ("plots", "1")
SLOTS = {"north": 180, "east": 36, "west": 156}
FIRST = {"east": 6, "north": 9, "west": 5}
OBJECTS = [f"/plots/{number}" for number in range(200)]
VMS = 64


def make_cache():
    state = FleetState(cluster="test")
    state.services["plots"] = Service(name="plots", version="1")
    return FakeStateCache(state, proof_at=0.0)


def make_vm(cache, **options):
    return make_balancer(
        make_settings(
            "e1",
            region="east",
            backends__scope="fleet",
            backends__division="fleet",
            **options,
        ),
        cache,
    )


def commit(cache, steps, slots=SLOTS):
    division = Division(
        "east",
        *POOL,
        tuple(
            RegionSteps(region, count, slots.get(region, 0))
            for region, count in steps.items()
        ),
    )
    assert apply(SetDivision(division), cache.state, 0.0).is_ok()


def read_steps(vm, now, slots=SLOTS):
    """Return the steps that the weights of a VM stand for."""
    weights = vm.weights_for_slots(POOL, slots, now)
    return {
        region: round(weights[region] * count)
        for region, count in slots.items()
        if count
    }


def wait_in_east(vm, start, seconds, cache=None):
    """Let requests wait in the region; return the steps of each second."""
    steps = []
    for second in range(seconds):
        now = start + second
        if cache is not None:
            cache.proof_at = now
        for sample in range(40):
            vm.record_wait(POOL, "east", 0.3, now + sample / 50)
        steps.append(read_steps(vm, now + 0.9))
    return steps


def test_committed_division_is_used_at_once():
    """Guards against VMs that divide the objects of a region differently."""
    cache = make_cache()
    vm = make_vm(cache)
    assert read_steps(vm, 0.0) == FIRST
    later = {"east": 5, "north": 10, "west": 5}
    commit(cache, later)
    assert read_steps(vm, 0.1) == later


def test_waits_move_nothing_while_there_is_contact():
    """Guards against single VMs that move objects by their own waits."""
    cache = make_cache()
    steps = wait_in_east(make_vm(cache), 0.0, 20, cache)
    assert all(later == FIRST for later in steps)


def test_vm_without_contact_begins_with_the_last_division():
    """Guards the bound on moved requests: a VM that went back to its fixed
    weights would move half of its objects at once."""
    cache = make_cache()
    vm = make_vm(cache)
    last = {"east": 4, "north": 10, "west": 6}
    commit(cache, last)
    assert read_steps(vm, 9.9) == last
    assert read_steps(vm, 10.1) == last
    steps = wait_in_east(vm, 11.0, 6)
    for before, after in zip([last, *steps], steps, strict=False):
        assert sum(abs(after[name] - before[name]) for name in after) <= 2
    assert steps[-1]["east"] < last["east"]
    # Without waits, objects return to the last division and no further.
    for second in range(60):
        steps.append(read_steps(vm, 20.0 + second))
    assert steps[-1] == last


def test_vm_with_contact_again_approaches_the_division():
    """Guards the bound when all VMs of a region are cut off and return at
    the same time."""
    cache = make_cache()
    vm = make_vm(cache)
    read_steps(vm, 0.0)
    commit(cache, {"east": 0, "north": 12, "west": 8})
    before = read_steps(vm, 11.0)
    cache.proof_at = 11.0
    steps = []
    for number in range(30):
        cache.proof_at = now = 11.0 + number * 0.5
        steps.append(read_steps(vm, now))
    assert before == steps[0] == FIRST
    assert steps[-1] == {"east": 0, "north": 12, "west": 8}
    for before, after in zip(steps, steps[4:], strict=False):
        moved = sum(max(0, before[name] - after[name]) for name in after)
        assert moved <= 2
    # It follows later changes at once again.
    commit(cache, {"east": 1, "north": 11, "west": 8})
    assert read_steps(vm, 26.1) == {"east": 1, "north": 11, "west": 8}


def test_division_that_jumps_is_approached():
    """Guards the bound against a leader that knows other servers, and a VM
    that missed several changes."""
    cache = make_cache()
    vm = make_vm(cache)
    read_steps(vm, 0.0)
    commit(cache, {"east": 0, "north": 20, "west": 0})
    assert read_steps(vm, 0.1)["east"] == 5
    assert read_steps(vm, 0.6)["east"] == 5
    for number in range(30):
        cache.proof_at = number
        steps = read_steps(vm, 1.0 + number)
    assert steps == {"east": 0, "north": 20, "west": 0}


@pytest.mark.parametrize("is_approaching", [False, True])
def test_lost_and_new_slots_count_at_once(is_approaching):
    """Guards the callers of a region whose servers are gone, and servers
    that return with empty caches."""
    cache = make_cache()
    vm = make_vm(cache)
    read_steps(vm, 0.0)
    commit(cache, FIRST)
    if is_approaching:
        commit(cache, {"east": 0, "north": 20, "west": 0})
        read_steps(vm, 0.1)
    without_east = {"north": 180, "west": 156}
    assert sum(read_steps(vm, 0.2, without_east).values()) == 20
    without_north = {"east": 36, "west": 156}
    assert sum(read_steps(vm, 0.3, without_north).values()) == 20
    assert read_steps(vm, 0.4, {}) == {}
    assert read_steps(vm, 0.5, {"west": 6}) == {"west": 20}


def test_steps_follow_the_slots_of_the_division():
    """Guards the agreement of VMs: one that restarts while servers are gone
    uses the same steps as one that saw them leave."""
    cache = make_cache()
    commit(cache, FIRST)
    old, new = make_vm(cache), make_vm(cache)
    read_steps(old, 0.0)
    fewer = {"north": 180, "east": 12, "west": 156}
    steps = read_steps(old, 0.1, fewer)
    assert steps == read_steps(new, 0.1, fewer)
    assert steps["east"] < FIRST["east"]
    assert read_steps(old, 0.2) == read_steps(new, 0.2) == FIRST


def make_servers():
    return [
        BackendServer(server_id=f"{region}-{number}", region=region, slots=6)
        for region, count in SLOTS.items()
        for number in range(count // 6)
    ]


def test_vms_with_the_same_state_agree_on_all_servers():
    """Guards caches: with 64 VMs that decide by themselves, an object has
    more servers than the two that its ranking names."""
    servers = make_servers()
    slots = count_region_slots(servers)
    cache = make_cache()
    vms = [make_vm(cache) for _ in range(VMS)]
    for steps in (FIRST, {"east": 7, "north": 8, "west": 5}):
        commit(cache, steps)
        rankings = [
            RendezvousRanking(servers, vm.weights_for_slots(POOL, slots, 1.0))
            for vm in vms
        ]
        assert all(ranking.is_equivalent(rankings[0]) for ranking in rankings)
        chosen = [rankings[0].object_indexes(key) for key in OBJECTS]
        for ranking in rankings[1::21]:
            assert [ranking.object_indexes(key) for key in OBJECTS] == chosen


def test_vm_restored_from_a_snapshot_agrees():
    """Guards against a VM that joins and uses the initial division."""
    cache = make_cache()
    commit(cache, {"east": 3, "north": 10, "west": 7})
    data = encode(cache.state.snapshot())
    restored = FakeStateCache(
        FleetState.from_snapshot(decode(StateSnapshot, data)), proof_at=0.0
    )
    vm, joined = make_vm(cache), make_vm(restored)
    assert vm.weights_for_slots(POOL, SLOTS, 0.0) == joined.weights_for_slots(
        POOL, SLOTS, 0.0
    )
    # A snapshot replaces the state of a running VM as well.
    cache.state = restored.state
    assert read_steps(vm, 0.1) == {"east": 3, "north": 10, "west": 7}


def test_slots_are_ranked_by_the_committed_division():
    """Guards against a division that is committed and not used."""
    settings = make_settings(
        "e1",
        region="east",
        backends__scope="fleet",
        backends__division="fleet",
    )
    cache = make_cache()
    directory = Directory(settings)
    for server in make_servers():
        directory.announce(
            attrs.evolve(server, service="plots", version="1"), 0.0
        )
    tracker = SlotTracker(settings, directory, cache)

    def read_weights(now):
        return tracker.candidates(*POOL, now).ranking.weights

    assert read_weights(0.1) == {
        region: FIRST[region] / count for region, count in SLOTS.items()
    }
    later = {"east": 5, "north": 9, "west": 6}
    commit(cache, later)
    assert read_weights(0.2) == {
        region: later[region] / count for region, count in SLOTS.items()
    }


def test_divisions_of_removed_services_are_discarded():
    """Guards the memory of a VM that runs for long."""
    cache = make_cache()
    vm = make_vm(cache)
    read_steps(vm, 0.0)
    vm.retain_services({})
    assert not vm._shares
