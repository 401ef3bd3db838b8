"""VMs whose upstreams are gone without closing their connections."""

import asyncio
import contextlib

import attrs
import pytest

from medlarhollow import clock
from medlarhollow.agreement.tests.fakes import eventually
from medlarhollow.agreement.tests.fakes import FakeChannels
from medlarhollow.agreement.tests.fakes import FakeNetwork
from medlarhollow.agreement.tests.fakes import put_account
from medlarhollow.distribution import FleetStateCache
from medlarhollow.distribution import follow
from medlarhollow.distribution import Reports
from medlarhollow.distribution import search
from medlarhollow.distribution.serve import MAX_HOLD_S
from medlarhollow.distribution.upstreams import STALE_PROOF_S
from medlarhollow.messages.records import Change
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.messages.records import VmState
from medlarhollow.settings.load import parse_settings

from .test_follow import Control
from .test_follow import SyncServer

# Bound on the time between the acceptance of a change and its effect.
APPLY_LIMIT_S = 2.5
LOCAL = "127.0.0.1:100"


def address_of(number):
    return f"127.0.0.1:{number}"


class Deployment:
    """Control replicas at given ports, and a VM that follows them."""

    def __init__(self, replicas):
        self.network = FakeNetwork()
        self.controls = {}
        self.settings = parse_settings(
            "[vm]\nname = a\ncluster = test\nregion = r\ndata_centre = d\n"
            f"[peer]\nlisten = {LOCAL}\nsecret_file = s\n"
            "[control]\nreplicas = "
            f"{', '.join(map(address_of, replicas))}\n",
            "test.ini",
        )
        self.cache = FleetStateCache(self.settings)
        self.task = None

    def serve(self, number):
        control = Control(address_of(number))
        self.controls[number] = control
        self.network.serve(address_of(number), [control])

    def silence(self, *numbers, vms=(LOCAL,)):
        """Make replicas gone: connections of VMs to them hang."""
        for number in numbers:
            if number not in self.controls:
                self.serve(number)
            self.network.isolate(address_of(number), vms)

    async def commit(self, change, *numbers):
        for number in numbers or self.controls:
            await self.controls[number].commit(change)

    def start(self):
        vm = Vm(name="a", region="r", data_centre="d", peer_address=LOCAL)
        self.task = asyncio.create_task(
            follow(
                self.cache,
                FakeChannels(self.network, LOCAL),
                Reports(),
                lambda now: VmReport(vm=vm),
                self.settings,
            )
        )

    async def wait_for_revision(self, revision, limit_s=APPLY_LIMIT_S):
        await eventually(
            lambda: self.cache.state.revision >= revision, limit_s
        )

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task


@pytest.mark.parametrize("gone", [1, 3, 12])
async def test_start_does_not_wait_for_each_silent_upstream(gone):
    """Guards against a start that takes longer with each replica of the
    settings that is gone."""
    deployment = Deployment(range(1, gone + 2))
    deployment.silence(*range(1, gone + 1))
    deployment.serve(gone + 1)
    await deployment.commit(put_account("x"))
    deployment.start()
    await deployment.wait_for_revision(1)
    await deployment.stop()


@pytest.mark.parametrize("gone", [1, 2, 5])
async def test_lost_upstream_is_replaced_while_others_are_gone(gone):
    """Guards against a confirmed change that is late at a VM which loses its
    upstream after others of its settings were replaced."""
    first, last = 1, gone + 2
    deployment = Deployment(range(first, last + 1))
    for number in range(first, last + 1):
        deployment.serve(number)
    deployment.silence(*range(first + 1, last))
    deployment.start()
    await eventually(lambda: deployment.controls[first].streams)
    await deployment.commit(put_account("x"))
    await deployment.wait_for_revision(1)
    deployment.silence(first)
    await deployment.commit(put_account("y"))
    await deployment.wait_for_revision(2)
    await deployment.stop()


async def test_successors_of_all_configured_replicas_are_found():
    """Guards against a VM that knows the successors of the replicas of its
    settings from the roster, and asks all other VMs before them."""
    deployment = Deployment([1, 2, 3])
    for number in (1, 9):
        deployment.serve(number)
    roster = [
        Vm(
            name=f"entry-{number}",
            region="r",
            data_centre="e",
            caller_address=f"127.0.0.2:{number}",
            peer_address=address_of(number),
            state=VmState.SERVING,
        )
        for number in range(20, 60)
    ]
    roster.append(
        Vm(
            name="control-9",
            region="r",
            data_centre="e",
            peer_address=address_of(9),
            state=VmState.SERVING,
            control=True,
        )
    )
    for vm in roster:
        await deployment.commit(Change(body=SetVm(vm)))
    deployment.start()
    await deployment.wait_for_revision(len(roster))
    # The roster lists entry VMs of a data centre that has lost power.
    deployment.silence(1, 2, 3, *range(20, 60))
    await deployment.commit(put_account("x"), 9)
    await deployment.wait_for_revision(len(roster) + 1)
    await deployment.stop()


async def test_slow_upstream_is_kept_while_no_other_responds():
    """Guards against a VM behind a slow link that leaves its only upstream
    with each late response."""
    deployment = Deployment([1, 2])
    deployment.serve(1)
    deployment.silence(2)
    control = deployment.controls[1]
    wait_for_revision = control.source.wait_for_revision

    async def wait_longer(revision, timeout_s):
        await wait_for_revision(revision, timeout_s)
        await asyncio.sleep(0.6)

    control.source.wait_for_revision = wait_longer
    deployment.start()
    await eventually(lambda: control.streams)
    await asyncio.sleep(3.0)
    assert control.opened == 1
    await deployment.commit(put_account("x"), 1)
    await deployment.wait_for_revision(1)
    await deployment.stop()


@pytest.mark.parametrize("gone", [1, 3, 9])
@pytest.mark.parametrize("outage_s", [4.0, 4.5, 5.0, 5.5, 6.0])
async def test_end_of_an_outage_is_noticed_beside_silent_upstreams(
    gone, outage_s
):
    """Guards against a VM that waits for replicas that are gone while the
    others, which had no leader when it asked them, have one again."""
    deployment = Deployment(range(1, gone + 3))
    for number in range(1, gone + 3):
        deployment.serve(number)
    deployment.silence(*range(1, gone + 1))
    alive = [deployment.controls[gone + 1], deployment.controls[gone + 2]]
    await deployment.commit(put_account("x"))
    deployment.start()
    await deployment.wait_for_revision(1)
    await eventually(lambda: alive[0].streams + alive[1].streams == 1)
    for control in alive:
        control.proof_at = float("-inf")
    await asyncio.sleep(outage_s)
    await deployment.commit(put_account("y"))
    for control in alive:
        control.proof_at = None
    await deployment.wait_for_revision(2)
    await deployment.stop()


class EntryVm(SyncServer):
    """An entry VM of a data centre with a control VM."""

    def __init__(self, deployment, vm):
        settings = attrs.evolve(
            deployment.settings,
            vm=attrs.evolve(deployment.settings.vm, name=vm.name),
            peer=attrs.evolve(
                deployment.settings.peer, listen=vm.peer_address
            ),
        )
        super().__init__(FleetStateCache(settings), Reports(), settings)
        deployment.network.serve(vm.peer_address, [self])
        self.oldest_proof_s = 0.0
        self.tasks = [
            asyncio.create_task(
                follow(
                    self.source,
                    FakeChannels(deployment.network, vm.peer_address),
                    self.reports,
                    lambda now: VmReport(vm=vm),
                    settings,
                )
            )
        ]

    def observe(self):
        self.tasks.append(asyncio.create_task(self._observe()))

    async def _observe(self):
        while True:
            age_s = self.source.freshness_age_s(clock.monotonic())
            self.oldest_proof_s = max(self.oldest_proof_s, age_s)
            await asyncio.sleep(0.02)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@pytest.mark.parametrize("gone", [0, 3])
@pytest.mark.parametrize("count", [1, 3])
async def test_upstream_that_is_cut_off_is_left_while_its_proof_is_valid(
    gone, count, monkeypatch
):
    """Guards against a confirmed change that is late where the control VM
    goes on answering, though it is cut off from the others."""
    monkeypatch.setattr(search, "RETRY_FAILED_S", 0.3)
    near, *others = range(gone + 1, gone + 4)
    deployment = Deployment([*range(1, gone + 1), *others])
    for number in (near, *others):
        deployment.serve(number)
    controls = [
        Vm(
            name=f"core-{number}",
            data_centre="d" if number == near else f"e{number}",
            peer_address=address_of(number),
            control=True,
        )
        for number in (near, *others)
    ]
    entries = [
        Vm(name=f"vm-{number}", peer_address=address_of(200 + number))
        for number in range(count)
    ]
    addresses = [vm.peer_address for vm in entries]
    deployment.silence(*range(1, gone + 1), vms=addresses)
    for vm in controls:
        await deployment.commit(Change(body=SetVm(vm)), near, *others)
    vms = [EntryVm(deployment, vm) for vm in entries]
    cut_off = deployment.controls[near]
    await eventually(lambda: cut_off.streams == count)
    for vm in vms:
        vm.observe()
    # As old as the proof of a replica that follows the leader.
    cut_off.proof_at = clock.monotonic() - MAX_HOLD_S
    await deployment.commit(put_account("y"), *others)
    await asyncio.sleep(APPLY_LIMIT_S)
    for vm in vms:
        assert vm.source.state.revision == len(controls) + 1
        assert vm.oldest_proof_s < STALE_PROOF_S
        await vm.stop()
