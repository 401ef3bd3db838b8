"""Divisions under uneven demand, in virtual time."""

import math

import pytest

from .division_load import check_moved_fraction
from .division_load import count_changes
from .division_load import count_moved
from .division_load import count_reversals
from .division_load import DivisionFleet
from .division_load import list_overloads
from .division_load import SLOTS_PER_SERVER
from .division_load import UNEVEN

# A third of all slots.
MEAN = sum(UNEVEN.values()) * SLOTS_PER_SERVER / len(UNEVEN)
WAVE_PERIOD_S = 36.0
BURST_FACTOR = 2.6
BURST_START_S = 20.0
BURST_END_S = 26.0


def equal_demand(utilization):
    """Return a demand that is the same in all regions at all times."""
    return lambda region, now: utilization * MEAN


def wave_demand(utilization):
    """Return a demand that moves around the regions."""
    phases = {
        region: 2 * math.pi * number / len(UNEVEN)
        for number, region in enumerate(UNEVEN)
    }

    def demand(region, now):
        angle = 2 * math.pi * now / WAVE_PERIOD_S + phases[region]
        return utilization * MEAN * (1 + 0.55 * math.sin(angle))

    return demand


def burst_demand(utilization, regions):
    """Return a demand with a burst of 6 s in some regions."""

    def demand(region, now):
        is_burst = region in regions and BURST_START_S <= now < BURST_END_S
        return utilization * MEAN * (BURST_FACTOR if is_burst else 1.0)

    return demand


@pytest.mark.parametrize(
    ("utilization", "most_changes"),
    [(0.3, 8), (0.5, 2), (0.6, 1), (0.75, 0), (0.9, 0)],
)
def test_uneven_regions_are_not_overloaded(utilization, most_changes):
    """Guards a region with 6 of 62 servers and as many callers as one with
    30, from the first second, and caches against needless moves."""
    fleet = DivisionFleet(UNEVEN, equal_demand(utilization))
    rounds = fleet.run(60)
    assert max(max(played.loads.values()) for played in rounds) < 1
    assert count_changes(rounds) <= most_changes
    assert count_reversals(rounds) == 0
    check_moved_fraction(rounds)
    # It has settled.
    assert count_changes(rounds[-40:]) == 0


def test_overload_of_all_regions_moves_nothing():
    """Guards caches against moves that gain nothing."""
    rounds = DivisionFleet(UNEVEN, equal_demand(1.2)).run(60)
    assert count_changes(rounds) == 0
    assert max(max(played.loads.values()) for played in rounds) < 1.25


def test_small_region_is_relieved_sooner_than_by_its_vms():
    """Guards the purpose of divisions: each VM by itself begins with fixed
    weights, and objects come and go with the waits."""
    local = DivisionFleet(UNEVEN, equal_demand(0.6), "local").run(60)
    fleet = DivisionFleet(UNEVEN, equal_demand(0.6)).run(60)
    assert max(played.loads["east"] for played in local) > 1
    assert list_overloads(local)
    assert not list_overloads(fleet)
    assert count_moved(fleet) < count_moved(local)


@pytest.mark.parametrize("utilization", [0.5, 0.6])
def test_objects_do_not_follow_each_peak(utilization):
    """Guards caches, and a small region against objects that return to it
    before its own peak, where the mean division has room for all peaks."""
    seconds = 4 * WAVE_PERIOD_S
    rounds = DivisionFleet(UNEVEN, wave_demand(utilization)).run(seconds)
    assert list_overloads(rounds) == []
    assert count_changes(rounds) <= 10
    check_moved_fraction(rounds)


def test_peaks_without_room_are_followed():
    """Guards the region that has its peak against the mean division, and
    caches against more than one way there and back for each peak."""
    seconds = 4 * WAVE_PERIOD_S
    rounds = DivisionFleet(UNEVEN, wave_demand(0.75)).run(seconds)
    fixed = DivisionFleet(UNEVEN, wave_demand(0.75))
    fixed.stop_leader()
    overloads = list_overloads(rounds)
    assert len(overloads) <= len(list_overloads(fixed.run(seconds))) / 4
    assert max(max(loads.values()) for _, loads in overloads) < 1.15
    assert count_reversals(rounds) <= 2 * seconds / WAVE_PERIOD_S
    check_moved_fraction(rounds)


def test_burst_of_all_regions_moves_little():
    """Guards caches in a burst, in which all regions are overloaded alike."""
    rounds = DivisionFleet(UNEVEN, burst_demand(0.6, UNEVEN)).run(60)
    assert list_overloads(rounds) == []
    assert count_changes(rounds) <= 5
    assert count_reversals(rounds) <= 1
    check_moved_fraction(rounds)


def test_burst_of_one_region_moves_to_free_slots():
    """Guards callers of a region with a burst while others have room."""
    fleet = DivisionFleet(UNEVEN, burst_demand(0.6, ["west"]))
    rounds = fleet.run(180)
    overloads = list_overloads(rounds)
    assert overloads
    assert all(
        BURST_START_S <= now < BURST_END_S - 0.5 for now, _ in overloads
    )
    assert count_reversals(rounds) <= 1
    check_moved_fraction(rounds)
    # The objects are back.
    assert rounds[-1].regions["west"] == rounds[0].regions["west"]


def test_servers_that_join_take_over():
    """Guards new servers against a long time without work, and the objects
    on the other servers."""
    fleet = DivisionFleet(UNEVEN, equal_demand(0.6))
    before = fleet.run(20)
    fleet.set_servers({**UNEVEN, "east": 15})
    after = fleet.run(60)
    check_moved_fraction(before)
    check_moved_fraction(after)
    assert count_reversals(before + after) == 0
    assert max(max(played.loads.values()) for played in after) < 0.9
    # The rescaling is followed by one step each 4 s.
    assert count_changes(after) <= 8
    assert after[-1].regions["east"].count("east") > 0.8 * len(
        after[-1].regions["east"]
    )


def test_empty_region_is_served_by_the_others():
    """Guards the callers of a region that is emptied, and the objects of the
    other regions."""
    fleet = DivisionFleet(UNEVEN, equal_demand(0.6))
    before = fleet.run(20)
    fleet.set_servers({"north": 30, "west": 26})
    after = fleet.run(40)
    assert max(max(played.loads.values()) for played in after) < 0.9
    assert count_reversals(before + after) == 0
    assert count_changes(after) <= 2
    check_moved_fraction(after)
