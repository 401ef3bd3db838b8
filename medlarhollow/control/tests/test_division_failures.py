"""Divisions when a machine, a link or samples are lost, in virtual time."""

import collections
import random

import attrs

from medlarhollow.configuration import FleetState
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.messages.codec import decode
from medlarhollow.messages.codec import encode
from medlarhollow.messages.records import StateSnapshot
from medlarhollow.steering.regions.fleet_balancing import make_balancer
from medlarhollow.steering.regions.region_balancing import count_region_slots

from .division_load import check_moved_fraction
from .division_load import count_changes
from .division_load import count_reversals
from .division_load import DivisionFleet
from .division_load import list_overloads
from .division_load import make_fleet_settings
from .division_load import make_servers
from .division_load import POOL
from .division_load import SLOTS_PER_SERVER
from .division_load import UNEVEN

MEAN = sum(UNEVEN.values()) * SLOTS_PER_SERVER / len(UNEVEN)


def make_fleet(utilization=0.3):
    """Return a fleet with the same demand in all regions.

    At 0.3, objects of the small region return to it for half a minute.
    """
    return DivisionFleet(UNEVEN, lambda region, now: utilization * MEAN)


def test_leader_lost_in_mid_adjustment():
    """Guards against a successor that starts from the initial division, and
    against steps of two leaders in a row."""
    fleet = make_fleet()
    before = fleet.run(14)
    divisions = dict(fleet.divisions)
    assert count_changes(before) == 3
    fleet.stop_leader()
    between = fleet.run(5)
    fleet.replace_leader()
    early = fleet.run(2.5)
    # VMs keep the last division.
    assert fleet.divisions == divisions
    assert early[-1].regions == between[0].regions
    after = fleet.run(40)
    rounds = before + between + early + after
    assert count_changes(rounds) == 8
    assert count_reversals(rounds) == 0
    check_moved_fraction(rounds)


def test_leader_with_few_samples():
    """Guards against decisions by a handful of requests."""
    fleet = make_fleet()

    def thin_out(samples, now):
        return [
            attrs.evolve(sample, requests=1, busy_s=0.1)
            for sample in samples
            if sample.server_region == "east"
        ]

    fleet.deliver = thin_out
    assert count_changes(fleet.run(30)) == 0


def test_vm_that_is_cut_off_for_10_s():
    """Guards the bound: the VM keeps the division that it knows while others
    follow the leader, and then approaches the present one."""
    fleet = make_fleet()
    cache = FakeStateCache(fleet.state, proof_at=0.0)
    vm = make_balancer(make_fleet_settings("east"), cache)
    slots = count_region_slots(make_servers(UNEVEN))

    def read_share(now):
        weights = vm.weights_for_slots(POOL, slots, now)
        return weights["east"] * slots["east"]

    fleet.run(6)
    cache.proof_at = fleet.now
    first = read_share(fleet.now)
    # The link is cut: neither proofs nor commits arrive.
    data = encode(fleet.state.snapshot())
    cache.state = FleetState.from_snapshot(decode(StateSnapshot, data))
    shares = [first]
    for _ in range(24):
        fleet.run(0.5)
        shares.append(read_share(fleet.now))
    assert shares == [first] * len(shares)
    # It is repaired; the VM has missed several steps.
    cache.state = fleet.state
    missed = fleet.balancers["east"].weights_for_slots(POOL, slots, fleet.now)
    assert missed["east"] * slots["east"] >= first + 2
    for _ in range(40):
        fleet.run(0.5)
        cache.proof_at = fleet.now
        shares.append(read_share(fleet.now))
    for before, after in zip(shares, shares[4:], strict=False):
        assert abs(after - before) <= 2.01
    balancer = fleet.balancers["east"]
    assert vm.weights_for_slots(
        POOL, slots, fleet.now
    ) == balancer.weights_for_slots(POOL, slots, fleet.now)


def test_samples_lost_at_random():
    """Guards caches against moves for demand that only seems to fall."""
    generator = random.Random(7)
    fleet = make_fleet(0.6)

    def deliver(samples, now):
        """Lose one in ten requests of the two relays of each region."""
        arrived = collections.Counter()
        for caller in UNEVEN:
            arrived[caller] = sum(generator.random() > 0.1 for _ in range(2))
        return [
            attrs.evolve(
                sample,
                requests=sample.requests * arrived[sample.caller_region] // 2,
                wait_s=sample.wait_s * arrived[sample.caller_region] / 2,
                busy_s=sample.busy_s * arrived[sample.caller_region] / 2,
            )
            for sample in samples
            if arrived[sample.caller_region]
        ]

    fleet.deliver = deliver
    rounds = fleet.run(120)
    assert list_overloads(rounds) == []
    assert count_changes(rounds) <= 6
    check_moved_fraction(rounds)


def test_samples_of_a_region_lost_for_a_while():
    """Guards a region against objects of others: without samples its slots
    seem to be free."""
    fleet = make_fleet(0.6)
    before = fleet.run(10)
    fleet.deliver = lambda samples, now: [
        sample for sample in samples if sample.caller_region != "north"
    ]
    rounds = fleet.run(9)
    fleet.deliver = lambda samples, now: samples
    rounds += fleet.run(20)
    assert count_changes(rounds) == 0
    assert count_changes(before) == 1


def test_vm_that_joins_with_a_snapshot():
    """Guards agreement: a VM that starts later has not seen the changes."""
    fleet = make_fleet()
    fleet.run(20)
    assert fleet.divisions
    data = encode(fleet.state.snapshot())
    state = FleetState.from_snapshot(decode(StateSnapshot, data))
    assert state.divisions == fleet.divisions
    joined = make_balancer(
        make_fleet_settings("east"), FakeStateCache(state, fleet.now)
    )
    slots = count_region_slots(make_servers(UNEVEN))
    assert joined.weights_for_slots(POOL, slots, fleet.now) == fleet.balancers[
        "east"
    ].weights_for_slots(POOL, slots, fleet.now)


def test_servers_of_a_region_all_gone_and_back():
    """Guards callers whose servers vanish in mid adjustment, and servers that
    return with empty caches against all their objects at once."""
    fleet = make_fleet(0.6)
    before = fleet.run(20)
    fleet.set_servers({"east": 6, "west": 26})
    gone = fleet.run(30)
    assert all(
        region != "north"
        for played in gone
        for regions in played.regions.values()
        for region in regions
    )
    fleet.set_servers(UNEVEN)
    back = fleet.run(60)
    check_moved_fraction(before)
    check_moved_fraction(gone)
    check_moved_fraction(back)
    assert list_overloads(back[60:]) == []
    assert back[-1].regions["north"].count("north") > 0.8 * len(
        back[-1].regions["north"]
    )
