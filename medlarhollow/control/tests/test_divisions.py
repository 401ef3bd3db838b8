"""Decisions of the leader on single divisions."""

import logging

import attrs
import pytest

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.configuration.division_steps import count_moved_steps
from medlarhollow.configuration.division_steps import DIVISION_STEPS
from medlarhollow.configuration.division_steps import initial_steps
from medlarhollow.control import divisions
from medlarhollow.control.divisions import make_division_planner
from medlarhollow.control.leader_tasks import LeaderTasks
from medlarhollow.distribution import Reports
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Division
from medlarhollow.messages.records import Evacuation
from medlarhollow.messages.records import RegionSteps
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import SetDivision
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import WaitSample

POOL = ("plots", "1")
SLOTS = {"north": 180, "east": 36, "west": 156}


@attrs.frozen
class Lease:
    """Lease of a backend server."""

    server: BackendServer


class Directory:
    """Directory with one large server in each region."""

    def __init__(self, slots):
        self.slots = slots

    def current(self, now):
        return [
            Lease(
                BackendServer(
                    server_id=region,
                    service=POOL[0],
                    version=POOL[1],
                    region=region,
                    data_centre=f"{region}-a",
                    slots=count,
                )
            )
            for region, count in self.slots.items()
        ]


class Leader:
    """A leader and its state, in virtual time.

    The callers of the east need the given slots, those of others few.
    """

    def __init__(self, slots=None, needed=20.0, **options):
        self.state = FleetState(cluster="test")
        self.state.services["plots"] = Service(name="plots", version="1")
        self.directory = Directory(dict(slots or SLOTS))
        self.needed = needed
        self.now = 0.0
        self.settings = make_settings(
            "c1",
            **{
                "backends__scope": "fleet",
                "backends__division": "fleet",
                **options,
            },
        )
        self.planner = make_division_planner(self.settings, 0.0)

    def sample(self, caller, needed):
        requests = max(1, round(needed * 5))
        return WaitSample(caller, *POOL, caller, requests, 0, needed * 0.5)

    def play_round(self):
        self.now += 0.5
        samples = [self.sample("east", self.needed), self.sample("west", 5.0)]
        changes = self.planner.plan(
            self.state, samples, self.directory, self.now
        )
        for change in changes:
            assert apply(change, self.state, self.now).is_ok()
        return [change.division for change in changes]

    def play(self, seconds):
        """Return the times and divisions of all changes."""
        return [
            (self.now, division)
            for _ in range(round(seconds * 2))
            for division in self.play_round()
        ]


def list_steps(division):
    return {record.region: record.steps for record in division.steps}


def test_first_division_differs_by_a_step_from_the_initial_one():
    """Guards the bound on moved requests: VMs use the initial division until
    they learn of the first one."""
    [(now, division), *_] = Leader().play(10)
    assert now >= 3.0
    steps = initial_steps("east", SLOTS)
    assert count_moved_steps(steps, list_steps(division)) == 1
    assert {r.region: r.slots for r in division.steps} == SLOTS


def test_objects_return_slowly_until_the_region_serves_its_demand():
    """Guards caches against demand that falls for a few seconds only, and
    latency against objects that stay away."""
    leader = Leader()
    changes = leader.play(90)
    times = [now for now, _ in changes]
    assert min(b - a for a, b in zip(times, times[1:], strict=False)) >= 4.0
    east = [list_steps(division)["east"] for _, division in changes]
    assert east == list(range(7, DIVISION_STEPS + 1))


def test_objects_leave_an_overloaded_region_by_a_step_a_second():
    """Guards the bound on moved requests, and callers of a region whose
    demand rises."""
    leader = Leader()
    leader.play(90)
    leader.needed = 120.0
    changes = leader.play(30)
    times = [now for now, _ in changes]
    assert min(b - a for a, b in zip(times, times[1:], strict=False)) >= 1.0
    assert times[10] - times[0] <= 14.0
    # 27 of 120 slots are the target: 4.5 steps.
    assert list_steps(changes[-1][1])["east"] in (4, 5)


@pytest.mark.parametrize(
    "options",
    [
        {"backends__division": "local"},
        {"backends__shift_per_s": "0"},
    ],
)
def test_settings_turn_divisions_off(options):
    """Guards fleets that don't use divisions."""
    assert Leader(**options).play(20) == []


def test_leader_without_servers_changes_nothing():
    """A leader that is no registry knows no servers."""
    leader = Leader()
    leader.directory.slots = {}
    assert leader.play(20) == []


def test_evacuated_servers_have_no_slots():
    """Guards VMs, which don't use them, against their share."""
    leader = Leader()
    leader.state.evacuations["north-a"] = Evacuation("north-a", 0.0)
    [(_, division), *_] = leader.play(10)
    assert "north" not in list_steps(division)


def test_divisions_of_versions_that_are_gone_are_dropped():
    """Guards the state and its snapshots against records without a use."""
    leader = Leader()
    leader.play(5)
    assert list(leader.state.divisions) == [("east", *POOL)]
    leader.state.services["plots"] = Service(name="plots", version="2")
    leader.play(1)
    assert not leader.state.divisions
    leader.state.services["plots"] = Service(name="plots", version="1")
    leader.play(5)
    assert leader.state.divisions
    del leader.state.services["plots"]
    leader.play(1)
    assert not leader.state.divisions


def test_demand_of_other_regions_must_be_known():
    """Guards regions whose samples a new leader has not received yet: their
    slots seem to be free."""
    leader = Leader()
    north = Division("north", *POOL, (RegionSteps("north", 20, 180),))
    assert apply(SetDivision(north), leader.state, 0.0).is_ok()
    assert leader.play(9) == []
    assert leader.play(3)


@pytest.mark.parametrize("needed", [20.0, 90.0])
def test_region_that_vanishes_for_a_moment_keeps_its_share(needed):
    """Guards servers against a leader that is cut off from them for as long
    as a lease."""
    leader = Leader(needed=needed)
    leader.play(10)
    assert bool(leader.state.divisions) == (needed < 27)
    del leader.directory.slots["north"]
    assert leader.play(4.5) == []
    leader.directory.slots["north"] = SLOTS["north"]
    leader.play(5)
    assert all(
        list_steps(division)["north"]
        for division in leader.state.divisions.values()
    )
    del leader.directory.slots["north"]
    changes = leader.play(10)
    assert changes
    assert "north" not in list_steps(changes[-1][1])


def test_each_committed_change_has_one_line(caplog):
    """Guards the engineer on call, who must see who moved what and why."""
    caplog.set_level(logging.INFO, divisions.__name__)
    leader = Leader()
    changes = leader.play(12)
    leader.play(0.5)
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == len(changes) == 3
    assert lines[1] == (
        "control: division of the objects of east for plots 1 changed from "
        "east=7 north=8 west=5 to east=8 north=7 west=5"
    )
    assert caplog.records[1].demand == pytest.approx(20.0, abs=0.5)
    assert caplog.records[1].slots == SLOTS


def test_samples_of_vms_reach_the_division():
    """Guards the way of samples from reports to the committed change."""
    leader = Leader()
    reports = Reports()
    tasks = LeaderTasks(leader.settings, leader, reports, leader.directory)
    bodies = []
    for number in range(1, 12):
        waits = (leader.sample("east", 10.0),) * 2
        reports.add(SyncRequest(waits=waits), number * 0.5)
        bodies += tasks._plan(number * 0.5, 1000.0 + number)
    assert any(isinstance(body, SetDivision) for body in bodies)


def test_refused_change_is_planned_again():
    """Guards against a division that stays behind after a lost proposal."""
    leader = Leader()
    leader.now = 3.0
    samples = [leader.sample("east", 20.0)]
    for number in range(1, 8):
        changes = leader.planner.plan(
            leader.state, samples, leader.directory, number * 0.5
        )
    assert changes
    again = leader.planner.plan(leader.state, samples, leader.directory, 4.0)
    assert again == changes
