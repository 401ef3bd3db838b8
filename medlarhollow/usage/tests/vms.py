"""VMs that count and merge in virtual time."""

from medlarhollow.distribution import Reports
from medlarhollow.messages.records import SyncRequest
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.load import parse_settings
from medlarhollow.usage.counter import UsageCounter
from medlarhollow.usage.fleet_clock import FleetClock
from medlarhollow.usage.totals import UsagePosition
from medlarhollow.usage.totals import UsageTotals

# True time at the monotonic time 0 of every VM; a window begins there.
EPOCH_S = 1_767_225_600.0
FIRST_WINDOW = int(EPOCH_S / 5.0)


def make_settings(name="vm-1", receiver="192.0.2.1:80"):
    return parse_settings(
        f"[vm]\nname={name}\ncluster=test\nregion=r\ndata_centre=d\n"
        "[peer]\nlisten=127.0.0.1:1\nsecret_file=x\n"
        "[control]\nreplicas=127.0.0.1:1\n"
        f"[usage]\nreceiver={receiver}\n"
    )


def make_fleet_clock(fleet_time_s=EPOCH_S, now=0.0):
    """Return a clock that has received a fleet time."""
    fleet_clock = FleetClock(lambda: 0.0)
    fleet_clock.add_fleet_time(fleet_time_s, 0.0, now, now)
    return fleet_clock


class SimulatedVm:
    """A VM with a wall clock, a counter and the totals of its downstream."""

    def __init__(self, name, incarnation="1", wall_error_s=0.0):
        self.name = name
        self.incarnation = incarnation
        self.wall_error_s = wall_error_s
        self.now = 0.0
        settings = make_settings(name)
        self.clock = FleetClock(self._wall_clock)
        self.totals = UsageTotals(settings, self.clock)
        self.counter = UsageCounter(settings, incarnation, self.clock)
        self.reports = Reports(self.totals)
        self.position = UsagePosition()

    def _wall_clock(self):
        return EPOCH_S + self.now + self.wall_error_s

    @property
    def key(self):
        return (self.name, self.incarnation)

    def run(self, account, now):
        """Run one attempt that ends at once."""
        self.now = now
        self.counter.end(self.counter.start(account, now), has_run=True)

    def collect(self, now):
        """Add this VM's own report and counts to its reports."""
        self.now = now
        vm = Vm(name=self.name, incarnation=self.incarnation)
        report = VmReport(vm=vm, wall_time_s=self.clock.wall_time())
        usage = self.counter.list_samples(now)
        self.reports.add(SyncRequest(reports=(report,), usage=usage), now)

    def make_request(self, now):
        """Return the next request to the current upstream."""
        self.collect(now)
        samples, self.position = self.totals.list_changes(now, self.position)
        return SyncRequest(
            reports=self.reports.list_recent(now, 3.0), usage=samples
        )

    def leave_upstream(self):
        self.position = UsagePosition()

    def derive_fleet_time(self, now, vm_count):
        offsets = self.reports.list_clock_offsets(now, 3.0)
        self.clock.add_offsets(offsets, vm_count, now)

    def receive(self, request, now):
        self.now = now
        self.reports.add(request, now)

    def follow_clock(self, upstream, now, round_trip_s=0.0, held_s=0.0):
        """Receive the fleet time of an upstream."""
        self.now = now
        fleet_time_s = 0.0
        if upstream.clock.is_synchronized:
            fleet_time_s = upstream.clock.fleet_time(now - round_trip_s / 2)
        self.clock.add_fleet_time(
            fleet_time_s, held_s, now - round_trip_s - held_s, now
        )


def sync(downstream, upstream, now, is_request_lost=False, is_lost=False):
    """Exchange a request and its response without delay, or lose one."""
    request = downstream.make_request(now)
    if not is_request_lost:
        upstream.receive(request, now)
    if is_request_lost or is_lost:
        # The session ends, and the next one sends all totals again.
        downstream.leave_upstream()
    else:
        downstream.follow_clock(upstream, now)
