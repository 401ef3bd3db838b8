"""One term of leadership, from its first round on."""

import asyncio
import time

import attrs
import pytest
from result import Ok

from medlarhollow.control import leader_tasks as leader_tasks
from medlarhollow.control.leader_tasks import LeaderTasks
from medlarhollow.control.leader_tasks import TermPlanner
from medlarhollow.control.roster import plan_roster
from medlarhollow.distribution import Reports
from medlarhollow.errors import fail
from medlarhollow.messages.records import ActivatePreset
from medlarhollow.messages.records import DemandSample
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import PutPreset
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import VmState

from .fleet import accept
from .fleet import make_state
from .fleet import report
from .fleet import Settings
from .fleet import vm

UNIX = 1000.0


def step(leader, state, now, reports=(), demands=()):
    """Run one round and apply what it plans; return the kinds of change."""
    unix = UNIX + now
    bodies = leader.plan(state, reports, (), demands, now, unix)
    for body in bodies:
        accept(state, body, unix)
    return [type(body).__name__ for body in bodies]


def test_a_new_leader_does_not_take_the_fleet_for_gone():
    """It has no reports at first; an empty roster would stop all look-ups."""
    state = make_state("a1", "b1")
    leader = TermPlanner(Settings, 0.0)
    step(leader, state, 0.5)
    step(leader, state, 2.0, [report(vm("a1"))])
    assert set(state.vms) == {"a1", "b1"}
    step(leader, state, 6.0, [report(vm("a1"))])
    assert set(state.vms) == {"a1"}


def test_an_unchanged_fleet_commits_nothing():
    """Ten thousand changes a day must not drown in the leader's own."""
    state = make_state("a1", "b1")
    leader = TermPlanner(Settings, 0.0)
    reports = [report(vm("a1")), report(vm("b1"))]
    first = step(leader, state, 0.5, reports)
    assert sorted(first) == ["SetAllocator", "SetAllocator", "SetShares"]
    demands = [DemandSample("crew", "dc-a", 5.0, 0.0)]
    for number in range(2, 100):
        assert step(leader, state, number * 0.5, reports, demands) == []


def test_a_shift_reaches_its_preset_by_steps():
    """A preset that an operator selects must come into effect by itself."""
    state = make_state("a1")
    away = (RegionWeight("n", "s", 1.0),)
    accept(state, PutPreset(Preset("day", (), 0.3, 2.0)), UNIX)
    accept(state, PutPreset(Preset("away", away, 0.3, 2.0)), UNIX)
    accept(state, ActivatePreset("away"), UNIX)
    leader = TermPlanner(Settings, 0.0)
    fractions = []
    for number in range(1, 40):
        step(leader, state, number * 0.5, [report(vm("a1"))])
        if state.shift.fraction not in fractions:
            fractions.append(state.shift.fraction)
    assert [round(part, 6) for part in fractions] == [0.3, 0.6, 0.9, 1.0]


def test_a_leader_whose_clock_is_behind_does_not_wait_for_it():
    """Clocks of replicas differ; a step that is due by the agreed time must
    not wait until the new leader's clock has caught up."""
    state = make_state("a1")
    away = (RegionWeight("n", "s", 1.0),)
    accept(state, PutPreset(Preset("away", away, 0.3, 2.0)), UNIX)
    state.shift = attrs.evolve(state.shift, stepped_at_s=UNIX + 55)
    state.time_s = UNIX + 60
    bodies = TermPlanner(Settings, 0.0).plan(state, (), (), (), 0.5, UNIX)
    assert "StepShift" in [type(body).__name__ for body in bodies]


def test_a_draining_vm_changes_its_state_on_the_roster():
    """Look-ups stop naming a VM once its state is known everywhere."""
    state = make_state("a1")
    draining = vm("a1", state=VmState.DRAINING)
    changes = plan_roster(state, (report(draining),))
    assert [change.body for change in changes] == [SetVm(draining)]
    accept(state, changes[0].body)
    assert plan_roster(state, (report(draining),)) == []


def test_a_vm_that_says_goodbye_is_removed_once():
    """Its last report is seen for seconds and must not be committed in every
    round; a late one of an old process must not remove its successor."""
    state = make_state("a1")
    gone = report(vm("a1", state=VmState.GONE))
    old = report(vm("a1", "i0", state=VmState.GONE))
    assert plan_roster(state, (old,), complete=False) == []
    changes = plan_roster(state, (gone,))
    accept(state, changes[0].body)
    assert len(changes) == 1
    assert plan_roster(state, (gone,)) == []


@attrs.define
class FakeReplica:
    """Apply proposals at once."""

    state: object
    is_leader: bool = True
    proposals: list = attrs.field(factory=list)
    forwarded: list = attrs.field(factory=list)
    failure: object = None

    async def propose(self, change, forwarded=False):
        self.forwarded.append(forwarded)
        self.proposals.append(change)
        if self.failure is not None:
            return fail(self.failure, "refused")
        accept(self.state, change.body)
        return Ok(None)


class EmptyDirectory:
    """Directory of a process that takes no announcements."""

    def count_versions(self, service, now):
        return {}


async def test_only_the_leader_proposes(monkeypatch):
    """Proposals of a follower would be answered with an error each time."""
    monkeypatch.setattr(leader_tasks, "LEADER_INTERVAL_S", 0.01)
    replica = FakeReplica(make_state(), is_leader=False)
    reports = Reports()
    reports.add(SyncRequest(reports=(report(vm("a1")),)), time.monotonic())
    task = asyncio.create_task(
        LeaderTasks(Settings, replica, reports, EmptyDirectory()).run()
    )
    await asyncio.sleep(0.1)
    assert replica.proposals == []
    replica.is_leader = True
    async with asyncio.timeout(10):
        while len(replica.proposals) < 2:
            await asyncio.sleep(0.01)
    task.cancel()
    kinds = [type(change.body).__name__ for change in replica.proposals]
    assert kinds[0] == "SetVm"
    assert all(change.request_id for change in replica.proposals)
    # A plan must not travel to another leader.
    assert all(replica.forwarded)
    assert not any(change.author for change in replica.proposals)


@pytest.mark.parametrize(
    ("failure", "proposals"),
    [
        (ErrorKind.NO_QUORUM, 1),
        (ErrorKind.NOT_LEADER, 1),
        (ErrorKind.CONFLICT, 2),
    ],
)
async def test_a_round_ends_when_authority_is_lost(
    monkeypatch, failure, proposals
):
    """Without a quorum each proposal waits for its time-out, and the rest of
    the plan is out of date by then. A rejected change stops no other."""
    monkeypatch.setattr(leader_tasks, "LEADER_INTERVAL_S", 0.01)
    replica = FakeReplica(make_state(), failure=failure)
    reports = Reports()
    now = time.monotonic()
    reports.add(SyncRequest(reports=(report(vm("a1")), report(vm("b1")))), now)
    duties = LeaderTasks(Settings, replica, reports, EmptyDirectory())
    planned = list(duties._plan(now, UNIX))
    assert len(planned) == 2
    rounds = 0

    def count_rounds(*_):
        nonlocal rounds
        rounds += 1
        if rounds > 1:
            raise asyncio.CancelledError
        return planned

    monkeypatch.setattr(duties, "_plan", count_rounds)
    with pytest.raises(asyncio.CancelledError):
        await duties.run()
    assert len(replica.proposals) == proposals


async def test_changes_of_a_restarted_fleet_share_round_trips(monkeypatch):
    """Guards the tokens of a fleet that lost power: allocators were named
    after a round trip for each VM."""
    monkeypatch.setattr(leader_tasks, "LEADER_INTERVAL_S", 0.01)
    names = [f"a{number}" for number in range(60)]
    state = make_state()
    rounds = []

    class SlowReplica(FakeReplica):
        waiting = 0

        async def propose(self, change, forwarded=False):
            if not self.waiting:
                rounds.append(0)
            rounds[-1] += 1
            self.waiting += 1
            accept(self.state, change.body)
            await asyncio.sleep(0.01)
            self.waiting -= 1
            return Ok(None)

    replica = SlowReplica(state)
    reports = Reports()
    request = SyncRequest(reports=tuple(report(vm(name)) for name in names))
    reports.add(request, time.monotonic())
    task = asyncio.create_task(
        LeaderTasks(Settings, replica, reports, EmptyDirectory()).run()
    )
    async with asyncio.timeout(10):
        while not state.allocators:
            await asyncio.sleep(0.01)
    task.cancel()
    assert set(state.vms) == set(names)
    assert len(rounds) <= 4


async def test_allocators_follow_a_new_roster_in_the_same_round(monkeypatch):
    """Guards requests after a restart: without an allocator there are no
    tokens, and the next round is half a second away."""
    monkeypatch.setattr(leader_tasks, "LEADER_INTERVAL_S", 0.2)
    replica = FakeReplica(make_state())
    reports = Reports()
    reports.add(SyncRequest(reports=(report(vm("a1")),)), time.monotonic())
    task = asyncio.create_task(
        LeaderTasks(Settings, replica, reports, EmptyDirectory()).run()
    )
    await asyncio.sleep(0.3)
    task.cancel()
    kinds = [type(change.body).__name__ for change in replica.proposals]
    assert kinds == ["SetVm", "SetAllocator"]
