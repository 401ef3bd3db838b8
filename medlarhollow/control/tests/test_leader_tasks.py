"""Tests of the planning rounds of a control leader during one term."""

import asyncio

import attrs
import pytest
from result import Ok

from medlarhollow import clock
from medlarhollow.control import leader_tasks
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

UNIX_START_S = 1000.0


def step(planner, state, now, reports=(), demands=()):
    """Run one round and apply its changes; return the kinds of change."""
    unix_now = UNIX_START_S + now
    bodies = planner.plan(state, reports, (), demands, now, unix_now)
    for body in bodies:
        accept(state, body, unix_now)
    return [type(body).__name__ for body in bodies]


def test_new_leader_does_not_remove_vms_before_they_report():
    """A new leader has no reports; an empty roster would fail all look-ups."""
    state = make_state("a1", "b1")
    planner = TermPlanner(Settings, 0.0)
    step(planner, state, 0.5)
    step(planner, state, 2.0, [report(vm("a1"))])
    assert set(state.vms) == {"a1", "b1"}
    step(planner, state, 6.0, [report(vm("a1"))])
    assert set(state.vms) == {"a1"}


def test_unchanged_fleet_commits_nothing():
    """Guards against changes of the leader that crowd out the ten thousand
    other changes that the log accepts in a day."""
    state = make_state("a1", "b1")
    planner = TermPlanner(Settings, 0.0)
    reports = [report(vm("a1")), report(vm("b1"))]
    first = step(planner, state, 0.5, reports)
    assert sorted(first) == ["SetAllocator", "SetAllocator", "SetShares"]
    demands = [DemandSample("crew", "dc-a", 5.0, 0.0)]
    for number in range(2, 100):
        assert step(planner, state, number * 0.5, reports, demands) == []


def test_shift_reaches_its_preset_in_steps():
    """An activated preset must take effect without further commands."""
    state = make_state("a1")
    away = (RegionWeight("n", "s", 1.0),)
    accept(state, PutPreset(Preset("day", (), 0.3, 2.0)), UNIX_START_S)
    accept(state, PutPreset(Preset("away", away, 0.3, 2.0)), UNIX_START_S)
    accept(state, ActivatePreset("away"), UNIX_START_S)
    planner = TermPlanner(Settings, 0.0)
    fractions = []
    for number in range(1, 40):
        step(planner, state, number * 0.5, [report(vm("a1"))])
        if state.shift.fraction not in fractions:
            fractions.append(state.shift.fraction)
    assert [round(value, 6) for value in fractions] == [0.3, 0.6, 0.9, 1.0]


def test_leader_with_slow_clock_uses_the_replicated_time():
    """Clocks of replicas differ. A step due by the replicated time must not
    wait until the clock of a new leader has caught up."""
    state = make_state("a1")
    away = (RegionWeight("n", "s", 1.0),)
    accept(state, PutPreset(Preset("away", away, 0.3, 2.0)), UNIX_START_S)
    state.shift = attrs.evolve(state.shift, stepped_at_s=UNIX_START_S + 55)
    state.time_s = UNIX_START_S + 60
    bodies = TermPlanner(Settings, 0.0).plan(
        state, (), (), (), 0.5, UNIX_START_S
    )
    assert "StepShift" in [type(body).__name__ for body in bodies]


def test_draining_vm_changes_its_state_on_the_roster():
    """Look-ups stop returning a VM once the roster shows it as draining."""
    state = make_state("a1")
    draining = vm("a1", state=VmState.DRAINING)
    changes = plan_roster(state, (report(draining),))
    assert [change.body for change in changes] == [SetVm(draining)]
    accept(state, changes[0].body)
    assert plan_roster(state, (report(draining),)) == []


def test_vm_that_reports_its_stop_is_removed_once():
    """The last report stays recent for seconds but must not cause a commit in
    every round. A late report of an old process must not remove its
    successor."""
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
    """Replica that applies proposals immediately."""

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
    """Directory of a process that receives no announcements."""

    def count_versions(self, service, now):
        return {}


async def test_only_the_leader_proposes(monkeypatch):
    """Guards against proposals of a follower, which would all be rejected."""
    monkeypatch.setattr(leader_tasks, "LEADER_INTERVAL_S", 0.01)
    replica = FakeReplica(make_state(), is_leader=False)
    reports = Reports()
    reports.add(SyncRequest(reports=(report(vm("a1")),)), clock.monotonic())
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
    # A plan must not be forwarded to another leader.
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
async def test_round_ends_when_leadership_is_lost(
    monkeypatch, failure, proposals
):
    """Without a quorum each proposal waits for its timeout, and the rest of
    the plan is outdated by then. A rejected change does not stop others."""
    monkeypatch.setattr(leader_tasks, "LEADER_INTERVAL_S", 0.01)
    replica = FakeReplica(make_state(), failure=failure)
    reports = Reports()
    now = clock.monotonic()
    reports.add(SyncRequest(reports=(report(vm("a1")), report(vm("b1")))), now)
    tasks = LeaderTasks(Settings, replica, reports, EmptyDirectory())
    planned = list(tasks._plan(now, UNIX_START_S))
    assert len(planned) == 2
    rounds = 0

    def count_rounds(*_):
        nonlocal rounds
        rounds += 1
        if rounds > 1:
            raise asyncio.CancelledError
        return planned

    monkeypatch.setattr(tasks, "_plan", count_rounds)
    with pytest.raises(asyncio.CancelledError):
        await tasks.run()
    assert len(replica.proposals) == proposals


async def test_changes_of_a_restarted_fleet_are_batched(monkeypatch):
    """Guards against a lack of tokens after a power failure: allocators were
    appointed only after one round trip per VM."""
    monkeypatch.setattr(leader_tasks, "LEADER_INTERVAL_S", 0.01)
    names = [f"a{number}" for number in range(60)]
    state = make_state()
    batch_sizes = []

    class SlowReplica(FakeReplica):
        pending = 0

        async def propose(self, change, forwarded=False):
            if not self.pending:
                batch_sizes.append(0)
            batch_sizes[-1] += 1
            self.pending += 1
            accept(self.state, change.body)
            await asyncio.sleep(0.01)
            self.pending -= 1
            return Ok(None)

    replica = SlowReplica(state)
    reports = Reports()
    request = SyncRequest(reports=tuple(report(vm(name)) for name in names))
    reports.add(request, clock.monotonic())
    task = asyncio.create_task(
        LeaderTasks(Settings, replica, reports, EmptyDirectory()).run()
    )
    async with asyncio.timeout(10):
        while not state.allocators:
            await asyncio.sleep(0.01)
    task.cancel()
    assert set(state.vms) == set(names)
    assert len(batch_sizes) <= 4


async def test_allocators_are_appointed_in_the_round_of_a_new_roster(
    monkeypatch,
):
    """Guards against failed requests after a restart: without an allocator
    there are no tokens, and the next round is half a second later."""
    monkeypatch.setattr(leader_tasks, "LEADER_INTERVAL_S", 0.2)
    replica = FakeReplica(make_state())
    reports = Reports()
    reports.add(SyncRequest(reports=(report(vm("a1")),)), clock.monotonic())
    task = asyncio.create_task(
        LeaderTasks(Settings, replica, reports, EmptyDirectory()).run()
    )
    await asyncio.sleep(0.3)
    task.cancel()
    kinds = [type(change.body).__name__ for change in replica.proposals]
    assert kinds == ["SetVm", "SetAllocator"]
