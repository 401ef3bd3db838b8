"""A fleet that counts in virtual time while messages and VMs are lost."""

import collections
import heapq
import random

import attrs
import pytest

from .vms import EPOCH_S
from .vms import FIRST_WINDOW
from .vms import SimulatedVm
from .vms import sync

VMS = 20
RELAYS = 3
ACCOUNTS = [f"account-{number}" for number in range(6)]
RATE_PER_S = 30.0
WINDOWS = 8
WINDOW_S = 5.0
DUE_S = 10.0
SYNC_S = 0.5
STEP_S = 0.05
LEASE_S = 3.0
AHEAD_S = 2.4
KILLED_AT_S = 22.3
LOSS = 0.1
REFUSED = 0.05


@attrs.define
class SimulatedFleet:
    """Entry VMs, relays and a leader, with the true counts."""

    generator: random.Random
    leader: SimulatedVm
    relays: list
    vms: list
    killed: set = attrs.field(factory=set)
    truth: dict = attrs.field(
        factory=lambda: collections.defaultdict(collections.Counter)
    )
    settled: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    heard_at: dict = attrs.field(factory=dict)

    def start_requests(self, now):
        """Send the requests of one step; a few of them take seconds."""
        for vm in self.vms:
            if vm.name in self.killed:
                continue
            vm.now = now
            while self.generator.random() < RATE_PER_S * STEP_S / 2.5:
                account = self.generator.choice(ACCOUNTS)
                has_run = self.generator.random() >= REFUSED
                latency_s = self.generator.expovariate(8.0)
                if has_run and self.generator.random() < 0.03:
                    latency_s *= 20.0
                attempt = vm.counter.start(account, now)
                entry = (now + latency_s, len(self.ends), vm, attempt, has_run)
                heapq.heappush(self.ends, entry)
                if has_run:
                    window = int((EPOCH_S + now) // WINDOW_S) - FIRST_WINDOW
                    self.truth[window][account] += 1

    def end_requests(self, now):
        while self.ends and self.ends[0][0] <= now:
            _, _, vm, attempt, has_run = heapq.heappop(self.ends)
            vm.counter.end(attempt, has_run)

    def synchronize(self, step):
        """Exchange the messages that are due, and lose some of them."""
        now = step * STEP_S
        steps = round(SYNC_S / STEP_S)
        members = [*self.vms, *self.relays]
        for number, vm in enumerate(members):
            if vm.name in self.killed or (step + number) % steps:
                continue
            upstream = self.leader
            if vm in self.vms:
                upstream = self.select_relay(vm, number)
            lost = [self.generator.random() < LOSS / 2 for _ in range(2)]
            sync(vm, upstream, now, *lost)
        self.leader.collect(now)
        self.leader.derive_fleet_time(now, VMS + RELAYS + 1)

    def select_relay(self, vm, number):
        relay = self.relays[number % RELAYS]
        if relay.name not in self.killed:
            return relay
        if relay.name not in self.heard_at.setdefault(vm.name, set()):
            # The VM has left its relay for the next one.
            self.heard_at[vm.name].add(relay.name)
            vm.leave_upstream()
        return self.relays[(number + 1) % RELAYS]

    def settle(self, now):
        """Settle the windows that are complete or whose time is over."""
        heard = {
            (report.vm.name, report.vm.incarnation)
            for report in self.leader.reports.list_recent(now, LEASE_S)
        }
        vms = [
            key for key in heard if any(key[0] == vm.name for vm in self.vms)
        ]
        for window in range(WINDOWS):
            age_s = now - WINDOW_S * (window + 1)
            number = FIRST_WINDOW + window
            totals = self.leader.totals
            if window in self.settled or age_s < 0:
                continue
            if age_s >= 0.6 * DUE_S or totals.is_complete(number, vms):
                counts = totals.counts(number)
                self.settled[window] = (counts, age_s)


def make_fleet(seed):
    """Return a fleet in which a third of the VMs and the leader are ahead."""
    vms = [
        SimulatedVm(f"vm-{n}", wall_error_s=0.0 if n % 3 else AHEAD_S)
        for n in range(VMS)
    ]
    relays = [SimulatedVm(f"relay-{n}") for n in range(RELAYS)]
    leader = SimulatedVm("control-1", wall_error_s=AHEAD_S)
    return SimulatedFleet(random.Random(seed), leader, relays, vms)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("victim", ["vm-7", "relay-1", "restarted"])
def test_counts_are_within_five_percent_of_the_truth(seed, victim):
    """Guards against missing and repeated requests in the reports while one
    message in ten is lost, clocks are wrong and a machine is lost."""
    fleet = make_fleet(seed)
    killed_step = round(KILLED_AT_S / STEP_S)
    for step in range(round((WINDOWS * WINDOW_S + DUE_S) / STEP_S)):
        now = step * STEP_S
        if step == killed_step and victim == "restarted":
            old = fleet.vms[7]
            fleet.ends = [end for end in fleet.ends if end[2] is not old]
            heapq.heapify(fleet.ends)
            fleet.vms[7] = SimulatedVm(old.name, "2", -AHEAD_S)
            fleet.vms[7].now = now
        elif step == killed_step:
            fleet.killed.add(victim)
        fleet.end_requests(now)
        # The fleet serves requests once its VMs have a proof of authority.
        if 1.5 <= now < WINDOWS * WINDOW_S:
            fleet.start_requests(now)
        fleet.synchronize(step)
        fleet.settle(now)
    assert sorted(fleet.settled) == list(range(WINDOWS))
    for window, (counts, age_s) in fleet.settled.items():
        assert age_s <= 0.6 * DUE_S + STEP_S
        truth = fleet.truth[window]
        assert sum(truth.values()) > 1000
        assert set(counts) == set(truth)
        for account, requests in truth.items():
            assert counts[account] == pytest.approx(requests, rel=0.05)
