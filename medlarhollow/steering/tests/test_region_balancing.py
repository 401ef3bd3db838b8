"""Balancing of objects between regions."""

import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.messages.records import BackendServer
from medlarhollow.steering.placement.rendezvous import RendezvousRanking
from medlarhollow.steering.regions.region_balancing import RegionBalancer

OBJECTS = [f"/plots/ {number}" for number in range(400)]
POOL = ("plots", "1")


def make_servers(**counts):
    return [
        BackendServer(server_id=f"{region}-{number}", region=region, slots=6)
        for region, count in counts.items()
        for number in range(count)
    ]


def make_balancer(**options):
    return RegionBalancer(
        make_settings("e1", backends__scope="fleet", **options)
    )


def divide_objects(balancer, servers, now):
    """Return the fraction of the objects in each region."""
    ranking = RendezvousRanking(servers, balancer.weights(POOL, servers, now))
    indexes = [ranking.object_indexes(key)[0] for key in OBJECTS]
    regions = [servers[index].region for index in indexes]
    return {
        region: regions.count(region) / len(OBJECTS)
        for region in {server.region for server in servers}
    }


def simulate_waits(balancer, servers, wait_for, start, seconds):
    """Record simulated waits; return the fractions at each second."""
    fractions = []
    for second in range(seconds):
        now = start + second
        fractions.append(divide_objects(balancer, servers, now))
        for region, fraction in fractions[-1].items():
            for sample in range(40 if fraction else 0):
                wait_s = wait_for(region, fraction)
                balancer.record_wait(POOL, region, wait_s, now + sample / 50)
    return fractions


def overloaded_wait(region, fraction):
    """The wait in the local region grows with its fraction."""
    return 0.4 * max(0.0, fraction - 0.5) if region == "north" else 0.0


def no_wait(region, fraction):
    return 0.0


def test_objects_leave_an_overloaded_region_slowly():
    """Guards callers of a region with too few servers, and the links between
    regions against oscillation."""
    servers = make_servers(north=6, south=6)
    balancer = make_balancer()
    fractions = [
        by_region["north"]
        for by_region in simulate_waits(
            balancer, servers, overloaded_wait, 0.0, 30
        )
    ]
    assert fractions[0] > 0.8
    steps = [
        abs(a - b) for a, b in zip(fractions, fractions[1:], strict=False)
    ]
    # A step is about a twentieth of the objects, depending on hashes.
    assert max(steps) < 0.09
    # The wait is 0.04 s at a fraction of 0.6 and 0.01 s at 0.525.
    assert all(0.45 <= fraction <= 0.68 for fraction in fractions[-10:])


def test_objects_return_after_the_overload():
    """Guards latency and links against needless use of remote servers."""
    servers = make_servers(north=6, south=6)
    balancer = make_balancer()
    first = divide_objects(balancer, servers, 0.0)["north"]
    overloaded = simulate_waits(balancer, servers, overloaded_wait, 0.0, 20)[
        -1
    ]["north"]
    fractions = [
        by_region["north"]
        for by_region in simulate_waits(balancer, servers, no_wait, 20.0, 60)
    ]
    assert fractions[3] < overloaded + 0.1
    assert fractions[-1] == pytest.approx(first, abs=0.01)


def test_no_objects_move_without_waits():
    """Guards caches, since the first request after a move is slow."""
    servers = make_servers(north=2, south=10, west=10)
    fractions = simulate_waits(make_balancer(), servers, no_wait, 0.0, 30)
    assert all(later == fractions[0] for later in fractions)


def test_no_objects_move_if_all_regions_are_overloaded():
    """Guards caches against moves that gain nothing."""
    servers = make_servers(north=6, south=6)
    fractions = simulate_waits(
        make_balancer(), servers, lambda region, fraction: 0.3, 0.0, 20
    )
    assert all(later == fractions[0] for later in fractions)


def test_objects_of_a_lost_region_move_immediately():
    """The servers of a returning region have empty caches, so it does not
    get its objects back immediately."""
    servers = make_servers(north=6, south=6)
    balancer = make_balancer()
    divide_objects(balancer, servers, 0.0)
    remaining = [server for server in servers if server.region == "south"]
    assert divide_objects(balancer, remaining, 0.1) == {"south": 1.0}
    assert divide_objects(balancer, servers, 0.2)["south"] > 0.9


def test_share_follows_the_servers_of_a_region():
    """Guards the servers that remain in a region after an evacuation or a
    crash against the load of the lost ones."""
    servers = make_servers(north=8, south=8)
    balancer = make_balancer()
    share = simulate_waits(balancer, servers, overloaded_wait, 0.0, 20)[-1][
        "north"
    ]
    half = divide_objects(balancer, servers[4:], 19.5)["north"]
    assert half == pytest.approx(share / (2 - share), abs=0.1)
    back = divide_objects(balancer, servers, 19.6)["north"]
    assert back == pytest.approx(share, abs=0.1)


def test_versions_of_a_service_are_divided_independently():
    """Guards the old version against the few servers of a new one."""
    servers = make_servers(north=8, south=8)
    balancer = make_balancer()
    before = divide_objects(balancer, servers, 0.0)
    for tick in range(100):
        balancer.weights(("plots", "2"), servers[-1:], tick / 50)
        assert divide_objects(balancer, servers, tick / 50) == before


def test_small_region_receives_no_objects_of_others():
    """Guards a region with few servers against callers of others."""
    servers = make_servers(north=10, south=12, west=1)
    balancer = make_balancer()
    before = divide_objects(balancer, servers, 0.0)["west"]
    waits = {"north": 0.3, "south": 0.2, "west": 0.0}
    fractions = simulate_waits(
        balancer, servers, lambda region, fraction: waits[region], 0.0, 20
    )
    assert fractions[-1]["west"] == before


@pytest.mark.parametrize("shift_per_s", ["0", "0.05"])
def test_expired_measurements_move_no_objects(shift_per_s):
    """Guards against shares that drift because of outdated waits."""
    servers = make_servers(north=6, south=6)
    balancer = make_balancer(backends__shift_per_s=shift_per_s)
    before = divide_objects(balancer, servers, 0.0)
    balancer.record_wait(POOL, "north", 0.9, 0.0)
    assert divide_objects(balancer, servers, 30.0) == before


def test_one_wait_of_a_vm_with_few_requests_moves_one_step():
    """In a large fleet each VM records few waits, and a single long wait must
    not move all objects of a region."""
    servers = make_servers(north=6, south=6)
    balancer = make_balancer()
    divide_objects(balancer, servers, 0.0)
    balancer.record_wait(POOL, "north", 0.3, 0.5)
    fractions = [
        divide_objects(balancer, servers, 1.0 + second) for second in range(4)
    ]
    assert fractions[-1] == fractions[0]
