"""Placement by object and region, and of cold servers."""

import collections

import attrs
import pytest

from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.membership.directory import ServerView
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Evacuation
from medlarhollow.messages.records import Route
from medlarhollow.messages.records import Service
from medlarhollow.steering import ServerLoad
from medlarhollow.steering import SlotRequest
from medlarhollow.steering.placement.placement import Placement
from medlarhollow.steering.placement.rendezvous import RendezvousRanking
from medlarhollow.steering.placement.server_selection import Candidate
from medlarhollow.steering.placement.server_selection import LazyCandidates
from medlarhollow.steering.placement.server_selection import make_candidate
from medlarhollow.steering.regions.region_balancing import RegionBalancer
from medlarhollow.steering.servers.cold_servers import ColdServerPacer
from medlarhollow.steering.servers.reported_load import ServerLoadReports

OBJECTS = [f"/plots/ {number}" for number in range(2000)]


def server_candidate(name, region="north", free=5, **fields):
    server = BackendServer(
        server_id=name,
        service="plots",
        slots=10,
        region=region,
        data_centre=f"{region}-a",
        **fields,
    )
    return Candidate(ServerView(server, 0.0, 0.0), 0, 10.0, free)


def make_slot_request(affinity, **fields):
    return SlotRequest(Route(), "", 1.0, 0.0, affinity=affinity, **fields)


def make_fleet_settings(**settings):
    return make_settings("e1", backends__scope="fleet", **settings)


def make_placement(state=None, **settings):
    return Placement(make_fleet_settings(**settings), FakeStateCache(state))


def make_pool(candidates, **settings):
    """Return the candidates of a pool of given servers."""
    servers = [candidate.view.server for candidate in candidates]
    balancer = RegionBalancer(make_fleet_settings(**settings))
    weights = balancer.weights(("plots", "1"), servers, 0.0)
    return LazyCandidates(
        RendezvousRanking(servers, weights), candidates.__getitem__
    )


def place_objects(candidates, **settings):
    placement = make_placement(**settings)
    pool = make_pool(candidates, **settings)
    return {
        key: placement.choose(pool, make_slot_request(key), 0.0).view.server
        for key in OBJECTS
    }


def rank_servers(candidates, key):
    """Return the servers of an object in the order of its ranking."""
    return [
        candidates[index]
        for index in make_pool(candidates).ranking.object_indexes(key)
    ]


def test_objects_spread_over_servers():
    counts = collections.Counter(
        server.server_id
        for server in place_objects(
            [server_candidate(f"s{n}") for n in range(10)]
        ).values()
    )
    assert len(counts) == 10
    assert max(counts.values()) < 1.3 * len(OBJECTS) / 10


def test_only_objects_of_a_lost_server_move():
    """Guards caches of servers against needless moves of objects."""
    servers = [server_candidate(f"s{n}") for n in range(10)]
    before, after = place_objects(servers), place_objects(servers[1:])
    moved = [key for key in OBJECTS if before[key] != after[key]]
    assert moved == [key for key in OBJECTS if before[key].server_id == "s0"]


def test_ranking_does_not_depend_on_the_order_of_the_pool():
    servers = [server_candidate(f"s{n}") for n in range(10)]
    for key in OBJECTS:
        assert rank_servers(servers, key) == rank_servers(servers[::-1], key)


def test_objects_of_a_full_server_go_to_the_next_in_the_ranking():
    servers = [server_candidate(f"s{n}") for n in range(10)]
    ranked = rank_servers(servers, OBJECTS[0])
    full = attrs.evolve(ranked[0], free_slots=0)
    others = [server for server in servers if server is not ranked[0]]
    chosen = place_objects([full, *others])[OBJECTS[0]]
    assert chosen == ranked[1].view.server


def test_overload_does_not_spread_an_object_over_all_servers():
    """If both servers of an object are full, its requests wait instead of
    evicting other objects from the caches of the remaining servers."""
    servers = [server_candidate(f"s{n}") for n in range(10)]
    full = {
        server.view.server.server_id for server in rank_servers(servers, "x")
    }
    assert len(full) < len(servers) / 2
    servers = [
        attrs.evolve(server, free_slots=0)
        if server.view.server.server_id in full
        else server
        for server in servers
    ]
    placement = make_placement()
    assert (
        placement.choose(make_pool(servers), make_slot_request("x"), 0.0)
        is None
    )


def test_other_regions_get_their_initial_weight():
    """The default division applies until waits are measured."""
    servers = [server_candidate("n1"), server_candidate("s1", region="south")]
    placed = place_objects(servers, backends__remote_weight="0.25")
    remote = sum(server.region == "south" for server in placed.values())
    assert remote / len(OBJECTS) == pytest.approx(0.2, abs=0.03)


def test_home_regions_and_exclusions_are_respected():
    servers = [server_candidate("n1"), server_candidate("s1", region="south")]
    placement = make_placement()
    for affinity in ("", "x"):
        for slot_request, expected in (
            (
                make_slot_request(affinity, home_regions=frozenset({"south"})),
                "s1",
            ),
            (make_slot_request(affinity, excluded=frozenset({"n1"})), "s1"),
        ):
            chosen = placement.choose(make_pool(servers), slot_request, 0.0)
            assert chosen.view.server.server_id == expected
        nowhere = make_slot_request(affinity, home_regions=frozenset({"east"}))
        assert placement.choose(make_pool(servers), nowhere, 0.0) is None


@pytest.mark.parametrize("affinity", ["", "x"])
def test_slots_are_reserved_for_accounts_bound_to_a_region(affinity):
    """Guards accounts that cannot use the servers of another region."""
    state = make_state()
    state.accounts["bound"] = Account("bound", home_regions=("north",))
    placement = make_placement(state)
    servers = [
        server_candidate("n1", free=2),
        server_candidate("s1", region="south"),
    ]
    unbound = placement.choose(
        make_pool(servers), make_slot_request(affinity), 0.0
    )
    assert unbound.view.server.region == "south"
    homes = frozenset({"north"})
    bound = placement.choose(
        make_pool(servers), make_slot_request(affinity, home_regions=homes), 0
    )
    assert bound.view.server.region == "north"


@pytest.mark.parametrize("vms", [1, 2, 11, 100])
@pytest.mark.parametrize("affinity", ["", "x"])
def test_idle_server_accepts_requests_while_others_wait_for_it(affinity, vms):
    """With many VMs in a data centre, the reserve exceeds the share of one
    VM. If it were subtracted from that share, requests that wait for an idle
    server would keep it idle."""
    state = make_state()
    state.accounts["bound"] = Account("bound", home_regions=("north",))
    server = server_candidate("n1").view.server
    view = ServerView(server, 0.0, 0.0, is_in_demand=True)
    idle = make_candidate(view, 10.0, 0, vms)
    chosen = make_placement(state).choose(
        make_pool([idle]), make_slot_request(affinity), 0
    )
    assert chosen is not None
    busy = make_candidate(attrs.evolve(view, peers_in_flight=8), 10.0, 0, vms)
    chosen = make_placement(state).choose(
        make_pool([busy]), make_slot_request(affinity), 0
    )
    assert chosen is None


def test_without_an_object_the_local_region_is_preferred():
    servers = [
        server_candidate("s1", region="south"),
        server_candidate("n1", free=1),
    ]
    placement = make_placement()
    assert placement.choose(
        make_pool(servers), make_slot_request(""), 0
    ).view.server == (servers[1].view.server)
    full = [servers[0], attrs.evolve(servers[1], free_slots=0)]
    assert (
        placement.choose(make_pool(full), make_slot_request(""), 0) is full[0]
    )


def test_reported_load_decays():
    reports = ServerLoadReports()
    reports.record("s1", ServerLoad(8, 3, 9), 2, 10.0)
    assert reports.others_in_flight("s1", 10.0) == 9
    assert 0 < reports.others_in_flight("s1", 11.0) < 9
    assert reports.others_in_flight("s1", 20.0) == 0
    assert reports.others_in_flight("s2", 10.0) == 0


def make_pacers(count, rate=6.0):
    state = make_state(
        vms=[
            (f"e{n}", "north", "north-a", "127.0.0.1:1") for n in range(count)
        ]
    )
    state.services["plots"] = Service("plots", cold_rate_per_s=rate)
    state_cache = FakeStateCache(state)
    return state, [
        ColdServerPacer(make_settings(f"e{n}"), state_cache)
        for n in range(count)
    ]


@pytest.mark.parametrize("count", [1, 3, 20])
def test_rate_of_all_vms_to_a_cold_server_is_limited(count):
    """Guards a returning server against the total rate of all VMs."""
    _, pacers = make_pacers(count)
    server = server_candidate("s1").view.server
    sent = []
    for tick in range(200):
        now = tick / 20
        for pacer in pacers:
            if pacer.may_send(server, now):
                pacer.record_sent(server, now)
                sent.append(now)
    for start in sent:
        within = sum(start <= at < start + 1 for at in sent)
        assert within <= 6.0 * 1.5
    assert len(sent) > 30


def test_server_is_cold_for_the_announced_time():
    _, (pacer,) = make_pacers(1)
    view = server_candidate("s1", cold_left_s=3.0).view
    assert pacer.is_cold(view, 2.9)
    assert not pacer.is_cold(view, 3.1)


def test_server_counts_as_cold_after_an_evacuation():
    """Guards servers that became cold while idle: an announcement from
    before the end of the evacuation may be out of date."""
    state, (pacer,) = make_pacers(1)
    view = server_candidate("s1").view
    state.evacuations["north-a"] = Evacuation("north-a")
    pacer.track_evacuations(1.0)
    del state.evacuations["north-a"]
    pacer.track_evacuations(5.0)
    assert pacer.is_cold(view, 5.1)
    assert not pacer.is_cold(attrs.evolve(view, load_at=5.2), 5.3)


def test_server_is_cold_for_at_most_a_lease_after_an_evacuation():
    """Guards the capacity of an evacuated data centre whose servers stayed
    warm and therefore send no new announcement."""
    state, (pacer,) = make_pacers(1)
    view = server_candidate("s1").view
    state.evacuations["north-a"] = Evacuation("north-a")
    pacer.track_evacuations(1.0)
    del state.evacuations["north-a"]
    pacer.track_evacuations(5.0)
    lease_s = make_settings("e1").backends.lease_s
    assert pacer.is_cold(view, 5.0 + lease_s - 0.1)
    assert not pacer.is_cold(view, 5.0 + lease_s + 0.1)


def test_object_does_not_wait_for_cold_servers():
    """After servers were added, the first servers of an object may all be
    cold and accept few requests; the next ones in its ranking serve it."""
    servers = [server_candidate(f"s{n}") for n in range(10)]
    order = make_pool(servers).ranking.ranked_indexes("x")
    cold = {servers[index].view.server.server_id for index in order[:3]}
    servers = [
        attrs.evolve(server, free_slots=0, is_cold=True)
        if server.view.server.server_id in cold
        else server
        for server in servers
    ]
    expected = servers[order[3]].view.server
    chosen = Placement(make_settings("e1"), FakeStateCache()).choose(
        make_pool(servers), make_slot_request("x"), 0.0
    )
    assert chosen.view.server == expected


def test_no_region_allows_no_server():
    """Guards against an empty set of regions that is read as all regions."""
    pool = make_pool([server_candidate("n1"), server_candidate("s1")])
    for affinity in ("", "x"):
        nowhere = make_slot_request(affinity, home_regions=frozenset())
        assert make_placement().choose(pool, nowhere, 0.0) is None
