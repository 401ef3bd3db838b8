"""VMs that follow upstreams over a simulated network."""

import asyncio
import contextlib

from grpclib.const import Cardinality
from grpclib.const import Handler
import pytest

from medlarhollow import clock
from medlarhollow.agreement.tests.fakes import eventually
from medlarhollow.agreement.tests.fakes import FakeChannels
from medlarhollow.agreement.tests.fakes import FakeNetwork
from medlarhollow.agreement.tests.fakes import put_account
from medlarhollow.distribution import FleetStateCache
from medlarhollow.distribution import follow
from medlarhollow.distribution import follower
from medlarhollow.distribution import Reports
from medlarhollow.distribution import search
from medlarhollow.distribution import serve_sync
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import Commit
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import SyncResponse
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.load import parse_settings

CONTROLS = ("127.0.0.1:1", "127.0.0.1:2")


def make_settings(name, address):
    return parse_settings(
        f"[vm]\nname = {name}\ncluster = test\nregion = r\ndata_centre = d\n"
        f"[peer]\nlisten = {address}\nsecret_file = s\n"
        "silence_timeout_s = 0.3\n"
        f"[control]\nreplicas = {', '.join(CONTROLS)}\n",
        "test.ini",
    )


class SyncServer:
    """Peer service with only Sync, which counts its streams."""

    def __init__(self, source, reports, settings):
        self.source = source
        self.reports = reports
        self.settings = settings
        self.streams = 0
        self.opened = 0
        self.delay_s = 0.0

    async def Sync(self, stream):  # noqa: N802
        self.streams += 1
        self.opened += 1
        try:
            await asyncio.sleep(self.delay_s)
            await serve_sync(stream, self.source, self.reports, self.settings)
        finally:
            self.streams -= 1

    def __mapping__(self):
        return {
            "/medlarhollow.peer.Fleet/Sync": Handler(
                self.Sync,
                Cardinality.STREAM_STREAM,
                SyncRequest,
                SyncResponse,
            )
        }


class Control(SyncServer):
    """A control replica whose age of proof is set by the test."""

    def __init__(self, address):
        settings = make_settings("control", address)
        state_cache = FleetStateCache(settings)
        super().__init__(state_cache, Reports(), settings)
        self.proof_at = None
        state_cache.freshness_age_s = self.age_s

    def age_s(self, now):
        return 0.1 if self.proof_at is None else now - self.proof_at

    async def commit(self, *changes):
        first = self.source.state.revision + 1
        commits = tuple(
            Commit(revision, 1.0, change)
            for revision, change in enumerate(changes, start=first)
        )
        response = SyncResponse(cluster="test", commits=commits)
        assert (await self.source.apply_response(response, 0.0)).is_ok()


class FollowingVm(SyncServer):
    """A VM that follows upstreams and serves its cached state."""

    def __init__(self, network, name, address, replica=None):
        settings = make_settings(name, address)
        super().__init__(FleetStateCache(settings), Reports(), settings)
        self.vm = Vm(
            name=name,
            region="r",
            data_centre="d",
            peer_address=address,
        )
        self.task = asyncio.create_task(
            follow(
                self.source,
                FakeChannels(network, address),
                self.reports,
                lambda now: VmReport(vm=self.vm),
                settings,
                replica,
            )
        )

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


@pytest.fixture
async def fleet(monkeypatch):
    monkeypatch.setattr("medlarhollow.distribution.serve.MAX_HOLD_S", 0.05)
    monkeypatch.setattr(search, "RETRY_FAILED_S", 0.5)
    fleet = Fleet()
    yield fleet
    for vm in fleet.vms:
        await vm.stop()


class Fleet:
    def __init__(self):
        self.network = FakeNetwork()
        self.controls = [Control(address) for address in CONTROLS]
        for address, control in zip(CONTROLS, self.controls, strict=True):
            self.network.serve(address, [control])
        self.vms = []

    def add(self, name, replica=None):
        address = f"127.0.0.1:{100 + len(self.vms)}"
        vm = FollowingVm(self.network, name, address, replica)
        self.network.serve(address, [vm])
        self.vms.append(vm)
        return vm

    async def commit(self, *changes):
        for control in self.controls:
            await control.commit(*changes)

    async def wait_until_current(self, *vms):
        """Wait until VMs have the latest revision and a fresh proof."""
        revision = self.controls[0].source.state.revision
        await eventually(
            lambda: all(
                vm.source.state.revision >= revision
                and vm.source.freshness_age_s(clock.monotonic()) < 1.0
                for vm in vms or self.vms
            )
        )


FAULTS = {
    "silent": lambda fleet, vm_address: fleet.network.cut(
        CONTROLS[0], vm_address
    ),
    "unreachable": lambda fleet, vm_address: fleet.network.cut(
        vm_address, CONTROLS[0]
    ),
    "stopped": lambda fleet, vm_address: (
        fleet.network.remove(CONTROLS[0]),
        fleet.network.isolate(CONTROLS[0], [vm_address]),
    ),
    "lost its quorum": lambda fleet, _: setattr(
        fleet.controls[0], "proof_at", clock.monotonic() - 3.0
    ),
    "never had a proof": lambda fleet, _: setattr(
        fleet.controls[0], "proof_at", float("-inf")
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("moment", ["before", "after"])
async def test_vm_fails_over_to_the_next_upstream(fleet, fault, moment):
    """Guards against a VM that becomes stale on a failed upstream while
    another one is available."""
    address = "127.0.0.1:100"
    if moment == "before":
        FAULTS[fault](fleet, address)
    vm = fleet.add("a")
    await fleet.wait_until_current()
    if moment == "after":
        FAULTS[fault](fleet, address)
    await fleet.controls[1].commit(put_account("x"))
    await eventually(lambda: vm.source.state.revision == 1)
    await eventually(
        lambda: vm.source.freshness_age_s(clock.monotonic()) < 1.0
    )


async def test_vm_returns_to_the_preferred_upstream(fleet):
    """Guards against a VM that stays on a less preferred upstream."""
    fleet.network.cut(CONTROLS[0], "127.0.0.1:100")
    vm = fleet.add("a")
    await fleet.wait_until_current()
    assert fleet.controls[1].streams == 1
    fleet.network.heal()
    oldest_s = 0.0

    def has_returned():
        nonlocal oldest_s
        oldest_s = max(oldest_s, vm.source.freshness_age_s(clock.monotonic()))
        return fleet.controls[0].streams and not fleet.controls[1].streams

    await eventually(has_returned)
    assert oldest_s < 1.0


async def test_unresponsive_preferred_upstream_costs_no_freshness(fleet):
    """Guards against a VM that leaves a working upstream to wait for an
    unresponsive one."""
    fleet.network.cut(CONTROLS[0], "127.0.0.1:100")
    vm = fleet.add("a")
    await fleet.wait_until_current()
    began_at = clock.monotonic()
    while clock.monotonic() < began_at + 2.0:
        await asyncio.sleep(0.01)
        assert vm.source.freshness_age_s(clock.monotonic()) < 0.9
    assert fleet.controls[1].opened == 1


async def test_freshness_age_is_never_less_than_the_age_of_the_proof(fleet):
    """Guards against VMs that renew a proof among themselves after the
    quorum was lost."""
    vms = [fleet.add(name) for name in "abc"]
    await fleet.commit(*(Change(body=SetVm(vm.vm)) for vm in vms))
    await fleet.wait_until_current()
    lost_at = clock.monotonic()
    for control in fleet.controls:
        control.proof_at = lost_at
    while clock.monotonic() < lost_at + 3.0:
        await asyncio.sleep(0.02)
        now = clock.monotonic()
        for vm in vms:
            # A proof from before the loss may still be in transit.
            assert vm.source.freshness_age_s(now) >= now - lost_at - 0.2


async def test_one_of_24_vms_connects_to_control(fleet):
    """Guards the links to the control replicas against a stream from every
    VM of a data centre. If the relay dies, the next VM replaces it."""
    vms = [fleet.add(f"vm-{number:02}") for number in range(24)]
    await fleet.commit(*(Change(body=SetVm(vm.vm)) for vm in vms))

    def streams():
        return sum(control.streams for control in fleet.controls)

    await eventually(lambda: streams() == 1)
    await fleet.commit(put_account("x"))
    await fleet.wait_until_current()
    assert (
        len(fleet.controls[0].reports.list_recent(clock.monotonic(), 3.0))
        == 24
    )
    fleet.network.remove("127.0.0.1:100")
    fleet.network.isolate(
        "127.0.0.1:100", [*CONTROLS, *(vm.vm.peer_address for vm in vms)]
    )
    await fleet.commit(put_account("y"))
    await fleet.wait_until_current(*vms[1:])


class ElectedReplica:
    """Become the leader after a given number of reads of `is_leader`."""

    def __init__(self, control, elected_after):
        self._control = control
        self._reads_left = elected_after
        self.leader_address = ""

    @property
    def is_leader(self):
        self._reads_left -= 1
        return self._reads_left < 0

    def __getattr__(self, name):
        return getattr(self._control.source, name)


@pytest.mark.parametrize("elected_after", range(6))
async def test_vm_leaves_its_upstream_when_its_replica_is_elected(
    fleet, elected_after
):
    """Guards against a control process that exits because its replica was
    elected at an unexpected time, such as before its first Sync request."""
    local = Control(CONTROLS[1])
    await local.commit(put_account("x"))
    vm = fleet.add("a", ElectedReplica(local, elected_after))
    await eventually(lambda: vm.task.done() or vm.source.state.revision == 1)
    assert not vm.task.done()
    await eventually(lambda: fleet.controls[0].streams == 0)


async def test_wrong_cluster_is_rejected(fleet):
    """Guards against a VM that applies the states of two fleets."""
    control = fleet.controls[0]
    control.settings = parse_settings(
        "[vm]\nname = x\ncluster = other\nregion = r\ndata_centre = d\n"
        "[peer]\nlisten = h:1\nsecret_file = s\n[control]\nreplicas = h:1\n",
        "test.ini",
    )
    vm = fleet.add("a")
    await control.commit(put_account("foreign"))
    await eventually(
        lambda: vm.source.freshness_age_s(clock.monotonic()) < 1.0
    )
    assert vm.source.state.revision == 0


async def test_vm_that_starts_with_the_fleet_receives_the_first_proof(
    fleet, monkeypatch
):
    """Guards requests after a restart of the whole fleet: an upstream
    without a proof holds the request until it has one, and no longer."""
    monkeypatch.setattr("medlarhollow.distribution.serve.MAX_HOLD_S", 10.0)
    monkeypatch.setattr(follower, "_RESPONSE_TIMEOUT_S", 15.0)
    control = fleet.controls[0]
    await fleet.commit(put_account("a"))
    for replica in fleet.controls:
        replica.proof_at = clock.monotonic() - 100.0
    vm = fleet.add("vm-1")
    await eventually(lambda: control.streams)
    await asyncio.sleep(0.2)
    assert not vm.source.has_proof
    control.proof_at = clock.monotonic()
    await eventually(lambda: vm.source.has_proof, 2.0)
    assert control.opened == 1


async def test_changes_in_quick_succession_share_a_response(fleet):
    """Guards the start of a fleet: each VM is a change sent to all VMs."""
    vm = fleet.add("a")
    await fleet.wait_until_current()
    responses = []
    apply_response = vm.source.apply_response

    async def apply_and_count(response, requested_at):
        responses.extend([response] if response.commits else [])
        return await apply_response(response, requested_at)

    vm.source.apply_response = apply_and_count
    for number in range(20):
        await fleet.commit(put_account(f"account-{number}"))
        await asyncio.sleep(0.002)
    await fleet.wait_until_current()
    assert len(responses) <= 5


async def test_response_slower_than_the_timeout_is_received_in_the_end(fleet):
    """Guards a fleet that restarts behind slow links: each VM timed out on
    the same response again and again."""
    await fleet.commit(put_account("x"))
    for control in fleet.controls:
        # Twice the response timeout in these tests.
        control.delay_s = 0.6
    vm = fleet.add("a")
    await eventually(lambda: vm.source.state.revision == 1, 10.0)
