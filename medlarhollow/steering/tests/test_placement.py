"""Placement by object, region and temperature."""

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
from medlarhollow.steering import Demand
from medlarhollow.steering import ServerLoad
from medlarhollow.steering.affinity import Ranking
from medlarhollow.steering.choice import Candidate
from medlarhollow.steering.choice import Candidates
from medlarhollow.steering.choice import make_candidate
from medlarhollow.steering.cold import ColdPacer
from medlarhollow.steering.placement import Placement
from medlarhollow.steering.reported_load import ReportedLoad
from medlarhollow.steering.spread import RegionSpread

OBJECTS = [f"/plots/ {number}" for number in range(2000)]


def candidate(name, region="north", free=5, **more):
    server = BackendServer(
        server_id=name,
        service="plots",
        slots=10,
        region=region,
        data_centre=f"{region}-a",
        **more,
    )
    return Candidate(ServerView(server, 0.0, 0.0), 0, 10.0, free)


def demand(affinity, **more):
    return Demand(Route(), "", 1.0, 0.0, affinity=affinity, **more)


def make_fleet_settings(**settings):
    return make_settings("e1", backends__scope="fleet", **settings)


def make_placement(state=None, **settings):
    return Placement(make_fleet_settings(**settings), FakeStateCache(state))


def offer(candidates, **settings):
    """Return candidates as a pool does."""
    servers = [candidate.view.server for candidate in candidates]
    spread = RegionSpread(make_fleet_settings(**settings))
    weights = spread.weights(("plots", "1"), servers, 0.0)
    return Candidates(Ranking(servers, weights), candidates.__getitem__)


def place(candidates, **settings):
    placement = make_placement(**settings)
    pool = offer(candidates, **settings)
    return {
        each: placement.choose(pool, demand(each), 0.0).view.server
        for each in OBJECTS
    }


def rank(candidates, key):
    """Return the own servers of an object, first one first."""
    return [
        candidates[place]
        for place in offer(candidates).ranking.own_places(key)
    ]


def test_objects_spread_over_servers():
    counts = collections.Counter(
        server.server_id
        for server in place([candidate(f"s{n}") for n in range(10)]).values()
    )
    assert len(counts) == 10
    assert max(counts.values()) < 1.3 * len(OBJECTS) / 10


def test_only_the_objects_of_a_lost_server_move():
    """Guards warm servers: a change of the pool moves as little as can be."""
    servers = [candidate(f"s{n}") for n in range(10)]
    before, after = place(servers), place(servers[1:])
    moved = [each for each in OBJECTS if before[each] != after[each]]
    assert moved == [
        each for each in OBJECTS if before[each].server_id == "s0"
    ]


def test_order_does_not_depend_on_the_list():
    servers = [candidate(f"s{n}") for n in range(10)]
    for key in OBJECTS:
        assert rank(servers, key) == rank(servers[::-1], key)


def test_full_server_passes_its_objects_to_the_next_in_order():
    servers = [candidate(f"s{n}") for n in range(10)]
    ranked = rank(servers, OBJECTS[0])
    full = attrs.evolve(ranked[0], free=0)
    others = [each for each in servers if each is not ranked[0]]
    chosen = place([full, *others])[OBJECTS[0]]
    assert chosen == ranked[1].view.server


def test_overload_does_not_spread_an_object_over_all_servers():
    """Guards warm servers: with its own two servers full, an object waits
    and does not push others out of the rest."""
    servers = [candidate(f"s{n}") for n in range(10)]
    full = {each.view.server.server_id for each in rank(servers, "x")}
    assert len(full) < len(servers) / 2
    servers = [
        attrs.evolve(each, free=0)
        if each.view.server.server_id in full
        else each
        for each in servers
    ]
    placement = make_placement()
    assert placement.choose(offer(servers), demand("x"), 0.0) is None


def test_other_regions_get_their_weight():
    """Guards the division while nothing is measured."""
    servers = [candidate("n1"), candidate("s1", region="south")]
    placed = place(servers, backends__remote_weight="0.25")
    remote = sum(server.region == "south" for server in placed.values())
    assert remote / len(OBJECTS) == pytest.approx(0.2, abs=0.03)


def test_home_regions_and_tried_servers_bind():
    servers = [candidate("n1"), candidate("s1", region="south")]
    placement = make_placement()
    for affinity in ("", "x"):
        for each, expected in (
            (demand(affinity, home_regions=frozenset({"south"})), "s1"),
            (demand(affinity, excluded=frozenset({"n1"})), "s1"),
        ):
            chosen = placement.choose(offer(servers), each, 0.0)
            assert chosen.view.server.server_id == expected
        nowhere = demand(affinity, home_regions=frozenset({"east"}))
        assert placement.choose(offer(servers), nowhere, 0.0) is None


@pytest.mark.parametrize("affinity", ["", "x"])
def test_slots_are_kept_for_accounts_bound_to_a_region(affinity):
    """Guards the worst-served account: it may run nowhere else."""
    state = make_state()
    state.accounts["bound"] = Account("bound", home_regions=("north",))
    placement = make_placement(state)
    servers = [candidate("n1", free=2), candidate("s1", region="south")]
    free = placement.choose(offer(servers), demand(affinity), 0.0)
    assert free.view.server.region == "south"
    homes = frozenset({"north"})
    bound = placement.choose(
        offer(servers), demand(affinity, home_regions=homes), 0
    )
    assert bound.view.server.region == "north"


@pytest.mark.parametrize("vms", [1, 2, 11, 100])
@pytest.mark.parametrize("affinity", ["", "x"])
def test_idle_server_is_free_while_others_wait_for_it(affinity, vms):
    """Guards a data centre of many VMs: what is kept for accounts bound to
    the region is more than the part of one VM, and requests that wait for an
    idle server would keep it idle."""
    state = make_state()
    state.accounts["bound"] = Account("bound", home_regions=("north",))
    server = candidate("n1").view.server
    view = ServerView(server, 0.0, 0.0, is_wanted=True)
    idle = make_candidate(view, 10.0, 0, vms)
    chosen = make_placement(state).choose(offer([idle]), demand(affinity), 0)
    assert chosen is not None
    busy = make_candidate(attrs.evolve(view, peers_in_flight=8), 10.0, 0, vms)
    chosen = make_placement(state).choose(offer([busy]), demand(affinity), 0)
    assert chosen is None


def test_without_an_object_the_own_region_goes_first():
    servers = [candidate("s1", region="south"), candidate("n1", free=1)]
    placement = make_placement()
    assert placement.choose(offer(servers), demand(""), 0).view.server == (
        servers[1].view.server
    )
    full = [servers[0], attrs.evolve(servers[1], free=0)]
    assert placement.choose(offer(full), demand(""), 0) is full[0]


def test_reported_load_fades():
    reported = ReportedLoad()
    reported.note("s1", ServerLoad(8, 3, 9), 2, 10.0)
    assert reported.others("s1", 10.0) == 9
    assert 0 < reported.others("s1", 11.0) < 9
    assert reported.others("s1", 20.0) == 0
    assert reported.others("s2", 10.0) == 0


def make_pacers(count, rate=6.0):
    state = make_state(
        vms=[
            (f"e{n}", "north", "north-a", "127.0.0.1:1") for n in range(count)
        ]
    )
    state.services["plots"] = Service("plots", cold_rate_per_s=rate)
    copy = FakeStateCache(state)
    return state, [
        ColdPacer(make_settings(f"e{n}"), copy) for n in range(count)
    ]


@pytest.mark.parametrize("count", [1, 3, 20])
def test_cold_server_gets_no_more_than_its_rate_from_all_vms(count):
    """Guards a server that comes back against the sum over VMs."""
    _, pacers = make_pacers(count)
    server = candidate("s1").view.server
    sent = []
    for tick in range(200):
        now = tick / 20
        for pacer in pacers:
            if pacer.may_send(server, now):
                pacer.note_sent(server, now)
                sent.append(now)
    for start in sent:
        within = sum(start <= at < start + 1 for at in sent)
        assert within <= 6.0 * 1.5
    assert len(sent) > 30


def test_server_is_cold_until_its_time_is_over():
    _, (pacer,) = make_pacers(1)
    view = candidate("s1", cold_left_s=3.0).view
    assert pacer.is_cold(view, 2.9)
    assert not pacer.is_cold(view, 3.1)


def test_server_is_taken_for_cold_after_an_evacuation():
    """Guards servers that grew cold while they had nothing to do: what they
    said before the end of the evacuation may be out of date."""
    state, (pacer,) = make_pacers(1)
    view = candidate("s1").view
    state.evacuations["north-a"] = Evacuation("north-a")
    pacer.follow(1.0)
    del state.evacuations["north-a"]
    pacer.follow(5.0)
    assert pacer.is_cold(view, 5.1)
    assert not pacer.is_cold(attrs.evolve(view, load_at=5.2), 5.3)


def test_server_without_news_is_not_cold_for_good_after_an_evacuation():
    """Guards the room of a data centre that was emptied and stayed warm: its
    servers have nothing new to announce."""
    state, (pacer,) = make_pacers(1)
    view = candidate("s1").view
    state.evacuations["north-a"] = Evacuation("north-a")
    pacer.follow(1.0)
    del state.evacuations["north-a"]
    pacer.follow(5.0)
    lease_s = make_settings("e1").backends.lease_s
    assert pacer.is_cold(view, 5.0 + lease_s - 0.1)
    assert not pacer.is_cold(view, 5.0 + lease_s + 0.1)


def test_object_does_not_wait_for_servers_that_are_cold():
    """Guards callers after servers were added: few requests may go to a cold
    server, and an object whose first servers are all cold is served by the
    next ones."""
    servers = [candidate(f"s{n}") for n in range(10)]
    order = offer(servers).ranking.places("x")
    cold = {servers[place].view.server.server_id for place in order[:3]}
    servers = [
        attrs.evolve(each, free=0, is_cold=True)
        if each.view.server.server_id in cold
        else each
        for each in servers
    ]
    expected = servers[order[3]].view.server
    chosen = Placement(make_settings("e1"), FakeStateCache()).choose(
        offer(servers), demand("x"), 0.0
    )
    assert chosen.view.server == expected
