"""Components of a process with and without usage reports."""

import asyncio
import collections
import contextlib
import time

import pytest

from medlarhollow import clock
from medlarhollow.daemon.fleet_service import FleetService
from medlarhollow.daemon.frontend import Frontend
from medlarhollow.daemon.process import Process
from medlarhollow.distribution import FleetStateCache
from medlarhollow.distribution import follow
from medlarhollow.distribution import Reports
from medlarhollow.entry.tests.fakes import make_idempotency_key
from medlarhollow.entry.tests.fakes import respond
from medlarhollow.localfleet.ports import free_addresses
from medlarhollow.messages import encode
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.load import parse_settings
from medlarhollow.transport import Channels
from medlarhollow.transport import PeerServer
from medlarhollow.usage.fleet_clock import FleetClock
from medlarhollow.usage.totals import UsageTotals

from .fleets import run_fleet
from .test_end_to_end import eventually

RECEIVER = "192.0.2.1:80"


def make_process(tmp_path, receiver, roles="entry"):
    secret = tmp_path / "secret"
    secret.write_text("s" * 64)
    settings = parse_settings(
        "[vm]\nname = vm-1\ncluster = test\nregion = r\ndata_centre = d\n"
        f"roles = {roles}\n"
        f"[peer]\nlisten = 127.0.0.1:1\nsecret_file = {secret}\n"
        "[control]\nreplicas = 127.0.0.1:2\n"
        f"[usage]\nreceiver = {receiver}\n"
    )
    return Process(settings, Frontend())


async def test_process_without_a_receiver_counts_nothing(tmp_path):
    """Guards other fleets against the cost and the bytes of counting."""
    process = make_process(tmp_path, "")
    now = clock.monotonic()
    report = process._make_report(now)
    plain = VmReport(
        vm=process._make_vm_record(), freshness_age_s=report.freshness_age_s
    )
    assert encode(report) == encode(plain)
    assert process._fleet_clock is None
    assert process._usage_totals is None
    assert process._usage_counter is None
    assert process._make_entry_vm(None).usage_counter is None


@pytest.mark.parametrize("roles", ["entry", "registry"])
async def test_entry_vm_with_a_receiver_counts(tmp_path, roles):
    """Guards against an entry VM that does not count, and against a VM that
    cannot pass on the counts of others because it has none of its own."""
    process = make_process(tmp_path, RECEIVER, roles)
    assert process._reports.usage_totals is process._usage_totals is not None
    assert (process._usage_counter is not None) == (roles == "entry")
    assert process._make_report(clock.monotonic()).wall_time_s > 1e9


class Relay:
    """A relay in this process, which the entry VMs of its data centre follow.

    Its name goes before those of all others. It shows what they send.
    """

    def __init__(self, folder, control_address):
        (address,) = free_addresses(1)
        self.settings = parse_settings(
            "[vm]\nname = a-relay\ncluster = local\nregion = north\n"
            "data_centre = north-a\n"
            f"[peer]\nlisten = {address}\n"
            f"secret_file = {folder / 'peer.secret'}\n"
            f"[control]\nreplicas = {control_address}\n"
            f"[usage]\nreceiver = {RECEIVER}\n"
        )
        # Ahead, as are the clocks of some VMs.
        self.fleet_clock = FleetClock(lambda: time.time() + 2.4)
        self.totals = UsageTotals(self.settings, self.fleet_clock)
        self.reports = Reports(self.totals)
        self.source = FleetStateCache(self.settings)

    def make_report(self, now):
        vm = Vm(
            name="a-relay",
            incarnation="1",
            region="north",
            data_centre="north-a",
            peer_address=self.settings.peer.listen,
        )
        return VmReport(vm=vm, wall_time_s=self.fleet_clock.wall_time())

    @contextlib.asynccontextmanager
    async def run(self):
        channels = Channels(self.settings)
        service = FleetService(
            self.settings,
            lambda: self.source,
            self.reports,
            None,
            None,
            None,
            None,
            self.fleet_clock,
        )
        server = PeerServer(self.settings, [service])
        await server.start()
        task = asyncio.create_task(
            follow(
                self.source,
                channels,
                self.reports,
                self.make_report,
                self.settings,
                fleet_clock=self.fleet_clock,
            )
        )
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            channels.close()
            await server.stop()

    def list_windows(self):
        """Return the windows that are complete for both entry VMs."""
        complete = collections.Counter(
            sample.window
            for sample in self.totals.list_samples(clock.monotonic())
            if sample.complete
        )
        return {window for window, vms in complete.items() if vms == 2}

    def count(self, account):
        windows = {
            sample.window
            for sample in self.totals.list_samples(clock.monotonic())
        }
        return sum(
            self.totals.counts(window).get(account, 0) for window in windows
        )


async def test_processes_send_their_counts_and_the_fleet_time(tmp_path):
    """Guards against components that are not connected in a process: counts
    that never leave an entry VM, or a relay without a fleet time."""
    options = {"usage": {"receiver": RECEIVER}}
    async with run_fleet(tmp_path, respond(), options=options) as fleet:
        addresses = fleet.local_fleet.addresses
        relay = Relay(tmp_path, addresses["control-1"].peer)
        async with relay.run():
            for _ in range(5):
                for name in ("north-a-1", "north-a-2"):
                    order = await fleet.send_order(
                        name, make_idempotency_key()
                    )
                    assert order[0] == 200

            async def has_all():
                return relay.count("crew") == 10 and relay.list_windows()

            await eventually(has_all)
            error_s = relay.fleet_clock.fleet_time(clock.monotonic())
            error_s -= time.time()
            assert abs(error_s) < 0.5
            now = time.time()
            assert all(
                5 * (window + 1) < now for window in relay.list_windows()
            )
