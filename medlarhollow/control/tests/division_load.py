"""Load of a fleet in virtual time on the real decisions of divisions.

The callers of each region request objects of their own. The planner of the
leader and a balancer of an entry VM in each region decide; demand and load are
numbers of slots that requests keep busy.
"""

import collections

import attrs

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.control.divisions import make_division_planner
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import WaitSample
from medlarhollow.steering.placement.rendezvous import RendezvousRanking
from medlarhollow.steering.regions.fleet_balancing import make_balancer
from medlarhollow.steering.regions.region_balancing import count_region_slots

POOL = ("plots", "1")
ROUND_S = 0.5
# Servers by region and slots of a server of the fleet that is modelled.
UNEVEN = {"north": 30, "east": 6, "west": 26}
SLOTS_PER_SERVER = 6
RUN_S = 0.1
# Longest wait for a slot; requests that would wait longer are rejected.
MAX_WAIT_S = 1.0
OBJECTS = [f"/plots/{number}" for number in range(500)]
# Requests that may change their region from one 2 s window to the next.
MAX_MOVED_FRACTION = 0.15
WINDOW_S = 2.0
# Waits that a balancer records of each server region in a round. Its moving
# average has a weight of 0.05 for each.
_WAITS_PER_ROUND = 20


@attrs.frozen
class Lease:
    """Lease of a backend server."""

    server: BackendServer


class Directory:
    """Directory with the servers that the test sets."""

    def __init__(self):
        self.servers = []

    def current(self, now):
        return [Lease(server) for server in self.servers]


@attrs.frozen
class Round:
    """What happened in one round.

    Attributes
    ----------
    now : float
        Time of its end.
    loads : dict of str to float
        Slots that the requests of each server region need, by their slots.
    regions : dict of str to list of str
        Server region of each object, by region of callers.
    changes : list of Division
        Divisions that were committed.
    """

    now: float
    loads: dict
    regions: dict
    changes: list


def make_servers(counts):
    """Return servers; the data centre is the region with the suffix '-a'."""
    return [
        BackendServer(
            server_id=f"{region}-{number}",
            service=POOL[0],
            version=POOL[1],
            region=region,
            data_centre=f"{region}-a",
            slots=SLOTS_PER_SERVER,
        )
        for region, count in counts.items()
        for number in range(count)
    ]


def make_fleet_settings(region="north", division="fleet"):
    """Return settings of a VM, with one division for all of a region."""
    return make_settings(
        f"entry-{region}",
        region=region,
        backends__scope="fleet",
        backends__division=division,
    )


class DivisionFleet:
    """Fleet in virtual time.

    Parameters
    ----------
    counts : dict of str to int
        Servers by region. Each of these regions has callers.
    demand_at : callable
        Returns the slots that the callers of a region need at a time.
    division : str
        Setting of the same name. With ``local``, one VM stands for all of a
        region and sees all its waits.
    """

    def __init__(self, counts, demand_at, division="fleet"):
        self.demand_at = demand_at
        self.now = 0.0
        self.state = FleetState(cluster="test")
        self.state.services[POOL[0]] = Service(name=POOL[0], version=POOL[1])
        self.cache = FakeStateCache(self.state, proof_at=0.0)
        self.directory = Directory()
        self.callers = tuple(counts)
        self.balancers = {
            region: make_balancer(
                make_fleet_settings(region, division), self.cache
            )
            for region in self.callers
        }
        self.rounds = []
        # Filters the samples on their way; returns those that arrive.
        self.deliver = lambda samples, now: samples
        self._queues = {}
        self._rankings = {}
        self.set_servers(counts)
        self.planner = make_division_planner(
            make_fleet_settings(division=division), self.now
        )

    @property
    def divisions(self):
        """Dict : committed divisions."""
        return self.state.divisions

    def set_servers(self, counts):
        """Let servers join or leave."""
        self.directory.servers = make_servers(counts)

    def replace_leader(self):
        """Start a new term."""
        self.planner = make_division_planner(make_fleet_settings(), self.now)

    def stop_leader(self):
        """Go on without a leader, but with contact to control."""
        self.planner = make_division_planner(make_settings("c1"), self.now)

    def run(self, seconds):
        """Play the load; return the rounds of that time."""
        first = len(self.rounds)
        for _ in range(round(seconds / ROUND_S)):
            self._play_round()
        return self.rounds[first:]

    def _play_round(self):
        now = self.now + ROUND_S
        servers = self.directory.servers
        slots = count_region_slots(servers)
        regions, offered = {}, {}
        for caller in self.callers:
            weights = self.balancers[caller].weights_for_slots(
                POOL, slots, now
            )
            regions[caller] = self._list_regions(caller, weights, servers)
            demand = self.demand_at(caller, now)
            total = sum(weights[region] * slots[region] for region in slots)
            for region in slots:
                part = weights[region] * slots[region] / total
                # A region without a share has a tiny weight, not none.
                offered[caller, region] = demand * part if part > 0.01 else 0
        loads = {
            region: sum(offered[caller, region] for caller in self.callers)
            / slots[region]
            for region in slots
        }
        waits_s = {
            region: self._queue(region, load) for region, load in loads.items()
        }
        samples = [
            self._sample(caller, region, slots_needed, loads, waits_s)
            for (caller, region), slots_needed in offered.items()
            if slots_needed
        ]
        for sample in samples:
            for _ in range(_WAITS_PER_ROUND):
                self.balancers[sample.caller_region].record_wait(
                    POOL,
                    sample.server_region,
                    waits_s[sample.server_region],
                    now,
                )
        arrived = self.deliver(samples, now)
        changes = self.planner.plan(self.state, arrived, self.directory, now)
        for change in changes:
            result = apply(change, self.state, now)
            assert result.is_ok(), result.err_value.detail
        self.now = now
        self.cache.proof_at = now
        divisions = [change.division for change in changes]
        self.rounds.append(Round(now, loads, regions, divisions))

    def _list_regions(self, caller, weights, servers):
        """Return the region of each object, computed once for its weights."""
        key = (caller, len(servers), tuple(sorted(weights.items())))
        if key not in self._rankings:
            ranking = RendezvousRanking(servers, weights)
            self._rankings[key] = [
                servers[ranking.object_indexes(caller + name)[0]].region
                for name in OBJECTS
            ]
        return self._rankings[key]

    def _queue(self, region, load):
        """Return the wait after a round with a load relative to the slots."""
        wait_s = self._queues.get(region, 0.0) + (load - 1) * ROUND_S
        self._queues[region] = min(max(wait_s, 0.0), MAX_WAIT_S)
        return self._queues[region]

    def _sample(self, caller, region, needed, loads, waits_s):
        served = needed / max(1.0, loads[region])
        requests = served * ROUND_S / RUN_S
        return WaitSample(
            caller,
            *POOL,
            region,
            max(1, round(requests)),
            requests * waits_s[region],
            served * ROUND_S,
        )


def check_moved_fraction(rounds):
    """Check the bound on requests that change their region."""
    step = round(WINDOW_S / ROUND_S)
    for before, after in zip(rounds, rounds[step:], strict=False):
        for caller, regions in after.regions.items():
            moved = sum(
                a != b
                for a, b in zip(before.regions[caller], regions, strict=True)
            )
            assert moved / len(OBJECTS) <= MAX_MOVED_FRACTION, (
                caller,
                after.now,
            )


def count_reversals(rounds):
    """Count steps that were taken back.

    Several steps in one direction that are taken back count once.

    Returns
    -------
    int
        The largest number of any pair of caller region and server region.
    """
    directions, steps = {}, {}
    reversals = collections.Counter()
    for played in rounds:
        for division in played.changes:
            for record in division.steps:
                key = (division.caller_region, record.region)
                if record.steps != steps.get(key, record.steps):
                    is_rise = record.steps > steps[key]
                    reversals[key] += directions.get(key, is_rise) != is_rise
                    directions[key] = is_rise
                steps[key] = record.steps
    return max(reversals.values(), default=0)


def count_changes(rounds):
    """Count the committed changes."""
    return sum(len(played.changes) for played in rounds)


def list_overloads(rounds):
    """Return times and loads at which a region is above its slots while
    another has a tenth of its slots free."""
    return [
        (played.now, played.loads)
        for played in rounds
        if max(played.loads.values()) > 1 and min(played.loads.values()) < 0.9
    ]


def count_moved(rounds):
    """Count the objects that changed their region from round to round."""
    return sum(
        a != b
        for before, after in zip(rounds, rounds[1:], strict=False)
        for caller, regions in after.regions.items()
        for a, b in zip(before.regions[caller], regions, strict=True)
    )
