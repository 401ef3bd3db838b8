"""Division of objects between regions before any demand is known."""

import pytest

from medlarhollow.configuration.division_steps import DIVISION_STEPS
from medlarhollow.configuration.division_steps import initial_steps
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.messages.records import BackendServer
from medlarhollow.steering.placement.rendezvous import RendezvousRanking
from medlarhollow.steering.regions.fleet_balancing import make_balancer
from medlarhollow.steering.regions.region_balancing import count_region_slots

OBJECTS = [f"/plots/ {number}" for number in range(1000)]
POOL = ("plots", "1")
SLOTS_PER_SERVER = 6
UNEVEN = {"north": 30, "east": 6, "west": 26}


def make_servers(counts):
    return [
        BackendServer(
            server_id=f"{region}-{number}",
            region=region,
            slots=SLOTS_PER_SERVER,
        )
        for region, count in counts.items()
        for number in range(count)
    ]


def measure_load(counts, division):
    """Return the load by region, relative to its fair load.

    Each region has the same demand; together they fill all slots.
    """
    servers = make_servers(counts)
    slots = count_region_slots(servers)
    demand = sum(slots.values()) / len(counts)
    load = dict.fromkeys(counts, 0.0)
    for region in counts:
        balancer = make_balancer(
            make_settings(
                "e1",
                region=region,
                backends__scope="fleet",
                backends__division=division,
            ),
            FakeStateCache(),
        )
        weights = balancer.weights_for_slots(POOL, slots, 0.0)
        ranking = RendezvousRanking(servers, weights)
        for key in OBJECTS:
            server = servers[ranking.object_indexes(region + key)[0]]
            load[server.region] += demand / len(OBJECTS)
    return {region: load[region] / slots[region] for region in counts}


def test_small_region_is_not_overloaded_from_the_start():
    """Guards a region with 6 of 62 servers and as many callers as one with
    30: by fixed weights it keeps half of its objects."""
    local = measure_load(UNEVEN, "local")
    assert local["east"] > 1.5
    fleet = measure_load(UNEVEN, "fleet")
    # A step, half of which rounding may add, is 17 % of the small region.
    assert all(0.8 < load < 1.2 for load in fleet.values()), fleet


@pytest.mark.parametrize(
    ("slots", "own"),
    [
        ({"north": 60, "east": 60}, 20),
        ({"north": 60, "east": 6}, 20),
        ({"north": 6, "east": 60}, 4),
        ({"north": 60}, 20),
        ({"east": 60}, 0),
        ({"north": 0, "east": 60, "west": 60}, 0),
    ],
)
def test_region_keeps_at_most_its_fair_share(slots, own):
    """Guards against needless moves from a region with enough servers, and
    against a region that keeps objects that its servers cannot serve."""
    steps = initial_steps("north", slots)
    assert steps["north"] == own
    assert sum(steps.values()) == DIVISION_STEPS


def test_no_division_without_slots():
    """Guards against a division by zero while no server is known."""
    assert initial_steps("north", {}) == {}
    assert initial_steps("north", {"east": 0}) == {}


def test_rest_goes_to_regions_above_the_fair_share():
    """Guards regions below their fair share against objects of others."""
    steps = initial_steps("north", {"north": 0, "east": 90, "west": 30})
    assert steps == {"north": 0, "east": 20, "west": 0}
