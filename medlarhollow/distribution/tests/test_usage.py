"""Totals of requests and fleet time in the messages of Sync."""

import asyncio
import collections
import contextlib

import attrs
import pytest

from medlarhollow import clock
from medlarhollow.agreement.tests import fakes
from medlarhollow.agreement.tests.fakes import eventually
from medlarhollow.agreement.tests.fakes import FakeChannels
from medlarhollow.agreement.tests.fakes import FakeNetwork
from medlarhollow.agreement.tests.fakes import put_account
from medlarhollow.distribution import FleetStateCache
from medlarhollow.distribution import follow
from medlarhollow.distribution import Reports
from medlarhollow.distribution import search
from medlarhollow.distribution import serve_sync
from medlarhollow.distribution import session
from medlarhollow.messages import decode
from medlarhollow.messages import encode
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import SyncResponse
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.messages.records import VmState
from medlarhollow.usage.counter import UsageCounter
from medlarhollow.usage.fleet_clock import FleetClock
from medlarhollow.usage.totals import UsageTotals

from .test_follow import Control
from .test_follow import CONTROLS
from .test_follow import ElectedReplica
from .test_follow import FollowingVm
from .test_follow import make_settings
from .test_follow import SyncServer

FLEET_TIME_S = 1_767_225_600.0
WINDOW = int(FLEET_TIME_S // 5)


class FakeClock(FleetClock):
    """Fleet clock of a VM whose wall clock does not move."""

    def __init__(self, error_s=0.0):
        super().__init__(lambda: FLEET_TIME_S + 0.1 + self.error_s)
        self.error_s = error_s


class UsageMixin:
    """Serve Sync with totals and fleet time."""

    async def Sync(self, stream):  # noqa: N802
        self.streams += 1
        try:
            await serve_sync(
                stream,
                self.source,
                self.reports,
                self.settings,
                self.fleet_clock,
            )
        finally:
            self.streams -= 1


class UsageControl(UsageMixin, Control):
    """A control replica that knows the fleet time."""

    def __init__(self, address):
        super().__init__(address)
        self.fleet_clock = FakeClock()
        self.fleet_clock.add_fleet_time(
            FLEET_TIME_S, 0.0, clock.monotonic(), clock.monotonic()
        )
        totals = UsageTotals(self.settings, self.fleet_clock)
        self.reports = Reports(totals)


class UsageVm(UsageMixin, SyncServer):
    """A VM that counts requests and follows upstreams."""

    def __init__(self, network, name, address):
        settings = make_settings(name, address)
        self.fleet_clock = FakeClock(2.4)
        super().__init__(
            FleetStateCache(settings),
            Reports(UsageTotals(settings, self.fleet_clock)),
            settings,
        )
        self.counter = UsageCounter(settings, "1", self.fleet_clock)
        self.vm = Vm(
            name=name, region="r", data_centre="d", peer_address=address
        )
        self.task = asyncio.create_task(
            follow(
                self.source,
                FakeChannels(network, address),
                self.reports,
                self._make_report,
                settings,
                fleet_clock=self.fleet_clock,
                usage_counter=self.counter,
            )
        )

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task

    def _make_report(self, now):
        return VmReport(vm=self.vm, wall_time_s=self.fleet_clock.wall_time())

    def run(self, account, count=1):
        for _ in range(count):
            attempt = self.counter.start(account, clock.monotonic())
            self.counter.end(attempt, has_run=True)


class Fleet:
    def __init__(self, make_control, make_vm):
        self.network = FakeNetwork()
        self.controls = [make_control(address) for address in CONTROLS]
        for address, control in zip(CONTROLS, self.controls, strict=True):
            self.network.serve(address, [control])
        self.make_vm = make_vm
        self.vms = []

    async def add(self, *names):
        for name in names:
            address = f"127.0.0.1:{100 + len(self.vms)}"
            vm = self.make_vm(self.network, name, address)
            self.network.serve(address, [vm])
            self.vms.append(vm)
        for control in self.controls:
            await control.commit(
                *(Change(body=SetVm(vm.vm)) for vm in self.vms)
            )
        return self.vms

    def kill(self, address):
        self.network.remove(address)
        others = [*CONTROLS, *(vm.vm.peer_address for vm in self.vms)]
        self.network.isolate(address, others)

    async def stop(self):
        for vm in self.vms:
            await vm.stop()


@pytest.fixture
async def fleet(monkeypatch):
    monkeypatch.setattr("medlarhollow.distribution.serve.MAX_HOLD_S", 0.05)
    monkeypatch.setattr(search, "RETRY_FAILED_S", 0.5)
    monkeypatch.setattr(session, "_USAGE_INTERVAL_S", 0.04)
    fleet = Fleet(UsageControl, UsageVm)
    yield fleet
    await fleet.stop()


def counts(control):
    """Return the totals over all windows of a test."""
    totals = collections.Counter()
    for window in range(WINDOW - 1, WINDOW + 6):
        totals.update(control.reports.usage_totals.counts(window))
    return totals


def stream_counts(fleet):
    return [control.streams for control in fleet.controls]


async def test_counts_pass_through_a_relay(fleet):
    """Guards against counts that reach the relay of a data centre only, and
    against a VM that is ahead and counts in a later window."""
    vms = await fleet.add("a", "b", "c")
    await eventually(lambda: stream_counts(fleet) == [1, 0])
    await eventually(lambda: all(vm.fleet_clock.is_synchronized for vm in vms))
    for number, vm in enumerate(vms, start=1):
        vm.run("crew", number)
    await eventually(lambda: counts(fleet.controls[0]) == {"crew": 6})
    await asyncio.sleep(0.3)
    assert counts(fleet.controls[0]) == {"crew": 6}
    assert counts(fleet.controls[1]) == {}


async def test_new_upstream_gets_all_totals(fleet):
    """Guards against a new leader that gets only what changed since its
    election, after the control VM and then the relay were lost."""
    vms = await fleet.add("a", "b", "c")
    await eventually(lambda: all(vm.fleet_clock.is_synchronized for vm in vms))
    for vm in vms:
        vm.run("crew", 2)
    await eventually(lambda: counts(fleet.controls[0]) == {"crew": 6})
    fleet.kill(CONTROLS[0])
    await eventually(lambda: counts(fleet.controls[1]) == {"crew": 6})
    fleet.kill(vms[0].vm.peer_address)
    vms[1].run("crew")
    vms[2].run("late")
    await eventually(
        lambda: counts(fleet.controls[1]) == {"crew": 7, "late": 1}
    )


async def test_changes_of_the_state_do_not_multiply_the_samples(
    fleet, monkeypatch
):
    """Guards the bytes of a fleet with many changes: each change ends the
    hold of a request, and the next one would carry all that was counted."""
    monkeypatch.setattr(session, "_USAGE_INTERVAL_S", 0.45)
    (vm,) = await fleet.add("a")
    await eventually(lambda: vm.fleet_clock.is_synchronized)
    received = []
    add = fleet.controls[0].reports.add
    monkeypatch.setattr(
        fleet.controls[0].reports,
        "add",
        lambda request, now: (received.append(request), add(request, now)),
    )
    for number in range(30):
        vm.run("crew")
        await fleet.controls[0].commit(put_account(f"account-{number}"))
        await asyncio.sleep(0.03)
    with_samples = [request for request in received if request.usage]
    assert len(received) > 8
    assert len(with_samples) <= 5
    await eventually(lambda: counts(fleet.controls[0]) == {"crew": 30})


async def test_unchanged_totals_are_not_sent_again(fleet, monkeypatch):
    """Guards the bytes of an idle fleet."""
    (vm,) = await fleet.add("a")
    await eventually(lambda: vm.fleet_clock.is_synchronized)
    vm.run("crew")
    await eventually(lambda: counts(fleet.controls[0]) == {"crew": 1})
    received = []
    monkeypatch.setattr(
        fleet.controls[0].reports,
        "add",
        lambda request, now: received.append(request),
    )
    await eventually(lambda: len(received) > 3)
    assert not any(request.usage for request in received)


async def test_leader_derives_fleet_time_from_all_vms(fleet):
    """Guards against a leader that is 2.4 s ahead and passes its own time
    on."""
    leader = fleet.controls[0]
    leader.fleet_clock = FakeClock(2.4)
    totals = UsageTotals(leader.settings, leader.fleet_clock)
    leader.reports = Reports(totals)
    vms = await fleet.add("a", "b", "c", "d")
    for vm in vms[:3]:
        vm.fleet_clock.error_s = 0.0
    gone = Vm(name="old", state=VmState.GONE)
    await leader.commit(Change(body=SetVm(gone)))
    replica = ElectedReplica(leader, 0)
    task = asyncio.create_task(
        follow(
            leader.source,
            FakeChannels(fleet.network, CONTROLS[0]),
            leader.reports,
            lambda now: VmReport(
                vm=Vm(name="control"),
                wall_time_s=leader.fleet_clock.wall_time(),
            ),
            leader.settings,
            replica,
            leader.fleet_clock,
        )
    )
    try:
        await eventually(
            lambda: all(vm.fleet_clock.is_synchronized for vm in vms)
        )
        for vm in (leader, *vms):
            ahead_s = vm.fleet_clock.fleet_time(clock.monotonic())
            assert ahead_s - FLEET_TIME_S < 2.0
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def test_fleet_without_a_receiver_sends_the_same_bytes(monkeypatch):
    """Guards fleets without usage reports against any change of their
    messages."""
    monkeypatch.setattr("medlarhollow.distribution.serve.MAX_HOLD_S", 0.05)
    sent = []

    def encode_and_record(message):
        sent.append((type(message), encode(message)))
        return sent[-1][1]

    monkeypatch.setattr(fakes, "encode", encode_and_record)
    fleet = Fleet(Control, FollowingVm)
    try:
        vms = await fleet.add("a", "b")
        reports = fleet.controls[0].reports
        await eventually(
            lambda: len(reports.list_recent(clock.monotonic(), 3.0)) == 2
        )
        await asyncio.sleep(0.5)
    finally:
        await fleet.stop()
    assert len(vms) == 2
    requests = [data for kind, data in sent if kind is SyncRequest]
    responses = [data for kind, data in sent if kind is SyncResponse]
    assert len(requests) > 3
    assert len(responses) > 3
    for data in requests:
        request = decode(SyncRequest, data)
        reports = tuple(
            attrs.evolve(report, wall_time_s=0.0) for report in request.reports
        )
        plain = attrs.evolve(request, usage=(), reports=reports)
        assert encode(plain) == data
    for data in responses:
        response = decode(SyncResponse, data)
        assert encode(attrs.evolve(response, fleet_time_s=0.0)) == data
