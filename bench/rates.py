"""Requests rejected for the rate of their account, against an ideal bucket.

Plays the limiter, the allocators and the division of shares in virtual time:
many accounts, a few of them large, send to the entry VMs of several data
centres. An ideal bucket for each account admits the same arrivals; `excess` is
the fraction of requests that the fleet rejects beyond those that the ideal
buckets reject. `overrun` is the largest excess of admitted requests in a
window over rate and burst, as a fraction of these. A trouble cuts one data
centre off from the others, or restarts all VMs.
"""

import argparse
import asyncio
import collections
import random

import attrs

from medlarhollow import clock
from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.control.demand import DemandEstimator
from medlarhollow.control.leases import LeaseMonitor
from medlarhollow.control.shares import plan_shares
from medlarhollow.limits import Limiter
from medlarhollow.limits import ShareAllocator
from medlarhollow.limits.limiter import DEMAND_PERIOD_S
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import SetShares
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.load import parse_settings

from .report import write_results
from .virtual_network import Channels
from .virtual_network import Network
from .virtual_network import VirtualLoop

REGIONS = 3
# Share of the requests of the largest account, and of each next one.
ZIPF_EXPONENT = 0.9
WINDOW_S = 5.0
SAMPLE_S = 0.25
VM_LEASE_S = 3.0
# The shares settle before requests count.
WARM_UP_S = 12.0


class StateCache:
    """Fleet state of a VM, fresh unless its data centre is cut off."""

    def __init__(self, network, state, data_centre):
        self._network = network
        self._data_centre = data_centre
        self._fresh_at = clock.monotonic()
        self.state = state

    def freshness_age_s(self, now):
        """Return the age of the last proof in seconds."""
        if self._data_centre not in self._network.cut_off:
            self._fresh_at = now
        return now - self._fresh_at


@attrs.define
class IdealBucket:
    """Token bucket in one place that is told of each arrival at once."""

    rate_per_s: float
    burst: float
    level: float
    filled_at: float

    def admit(self, now):
        """Return whether a request is within rate and burst."""
        refill = self.rate_per_s * (now - self.filled_at)
        self.level = min(self.burst, self.level + refill)
        self.filled_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Fleet:
    """Entry VMs, allocators and a control leader."""

    def __init__(self, options):
        self._options = options
        self._random = random.Random(options.seed)
        self._network = Network()
        self._data_centres = [
            f"{index % REGIONS}-{index // REGIONS}"
            for index in range(options.data_centres)
        ]
        self._state = FleetState(cluster="bench", revision=1)
        weights = [
            1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(options.accounts)
        ]
        demand_per_s = [
            options.rate * weight / sum(weights) for weight in weights
        ]
        self._demand_per_s = {}
        for number, rate_per_s in enumerate(demand_per_s):
            name = f"account-{number:03d}"
            limit = max(1.0, round(options.quota * rate_per_s))
            self._demand_per_s[name] = rate_per_s
            self._state.accounts[name] = Account(name, limit, limit)
        self._limiters = {}
        self._allocator_vms = {}
        self._tasks = []
        self._incarnations = collections.Counter()
        self._ideal = {}
        self._outcomes = []
        self._is_counting = False

    async def run(self):
        """Play the load; return one row of the results."""
        loop = asyncio.get_running_loop()
        for data_centre in self._data_centres:
            for number in range(self._options.vms // len(self._data_centres)):
                name = f"{data_centre}-{number}"
                self._state.vms[name] = Vm(
                    name,
                    "1",
                    data_centre[0],
                    data_centre,
                    f"{name}:1",
                    data_centre,
                )
        self._start_vms()
        leader = asyncio.create_task(self._lead())
        end_at = loop.time() + WARM_UP_S + self._options.duration_s
        trouble = asyncio.create_task(self._trouble())
        requests = set()
        total_per_s = sum(self._demand_per_s.values())
        names = list(self._demand_per_s)
        weights = list(self._demand_per_s.values())
        counting_from = loop.time() + WARM_UP_S
        while loop.time() < end_at:
            await asyncio.sleep(self._random.expovariate(total_per_s))
            self._is_counting = loop.time() >= counting_from
            account = self._random.choices(names, weights)[0]
            task = asyncio.create_task(self._request(account))
            requests.add(task)
            task.add_done_callback(requests.discard)
        if requests:
            await asyncio.wait(requests)
        leader.cancel()
        trouble.cancel()
        self._stop_vms()
        return self._summarise()

    def _start_vms(self):
        for data_centre in self._data_centres:
            self._incarnations[data_centre] += 1
            incarnation = str(self._incarnations[data_centre])
            settings = _make_settings(f"core-{data_centre}", data_centre)
            state_cache = StateCache(self._network, self._state, data_centre)
            allocator = ShareAllocator(
                settings, state_cache, incarnation, clock.monotonic()
            )
            self._network.allocators[data_centre] = allocator
            epoch = self._incarnations[data_centre]
            vm = Vm(
                f"core-{data_centre}",
                incarnation,
                data_centre[0],
                data_centre,
                "",
                data_centre,
            )
            self._state.vms[vm.name] = self._allocator_vms[data_centre] = vm
            self._state.allocators[data_centre] = Allocator(
                data_centre,
                f"core-{data_centre}",
                incarnation,
                epoch,
                has_predecessor=epoch > 1,
            )
        self._state.revision += 1
        for name, vm in self._state.vms.items():
            if not vm.caller_address:
                continue
            limiter = Limiter(
                _make_settings(name, vm.data_centre),
                StateCache(self._network, self._state, vm.data_centre),
                Channels(self._network, vm.data_centre),
                None,
                vm.incarnation,
            )
            self._limiters[name] = limiter
            self._tasks.append(asyncio.create_task(limiter.run()))

    def _stop_vms(self):
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._limiters = {}

    async def _lead(self):
        """Divide the shares by demand, as the control leader does."""
        now = clock.monotonic()
        settings = _make_settings("leader", self._data_centres[0])
        leases = LeaseMonitor(settings, now)
        demand = DemandEstimator(DEMAND_PERIOD_S, now)
        while True:
            await asyncio.sleep(SAMPLE_S)
            now = clock.monotonic()
            cut_off = self._network.cut_off
            reports = [
                VmReport(
                    vm=self._allocator_vms[data_centre],
                    share_epoch=allocator.share_epoch(now),
                )
                for data_centre, allocator in self._network.allocators.items()
                if data_centre not in cut_off
            ]
            leases.update(reports, now)
            samples = [
                sample
                for name, limiter in self._limiters.items()
                if name.rpartition("-")[0] not in cut_off
                for sample in limiter.pop_demand_samples(now)
            ]
            demand.update(samples, now)
            change = plan_shares(self._state, demand, leases, now)
            if isinstance(change, SetShares):
                result = apply(change, self._state, now)
                assert result.is_ok(), result
                self._state.revision += 1

    async def _trouble(self):
        kind = self._options.trouble
        await asyncio.sleep(WARM_UP_S + self._options.duration_s / 3)
        if kind == "cut":
            await self._cut_off(self._data_centres[0])
        elif kind == "restart":
            self._stop_vms()
            await asyncio.sleep(self._options.trouble_s)
            self._start_vms()

    async def _cut_off(self, data_centre):
        """Cut a data centre off; the leader removes its silent VMs."""
        self._network.cut_off.add(data_centre)
        await asyncio.sleep(VM_LEASE_S)
        lost = {
            name: self._state.vms.pop(name)
            for name, vm in list(self._state.vms.items())
            if vm.data_centre == data_centre
        }
        self._state.revision += 1
        await asyncio.sleep(self._options.trouble_s - VM_LEASE_S)
        self._network.cut_off.clear()
        self._state.vms.update(lost)
        self._state.revision += 1

    async def _request(self, account):
        if not self._limiters:
            return
        now = clock.monotonic()
        name = self._random.choice(list(self._limiters))
        if name.rpartition("-")[0] in self._network.cut_off:
            # Its callers are cut off as well, or served within their part.
            return
        limits = self._state.accounts[account]
        bucket = self._ideal.setdefault(
            account,
            IdealBucket(limits.rate_per_s, limits.burst, limits.burst, now),
        )
        is_ideal = bucket.admit(now)
        result = await self._limiters[name].admit(account, now + 2.0)
        if self._is_counting:
            self._outcomes.append(
                (account, clock.monotonic(), result.is_ok(), is_ideal)
            )

    def _summarise(self):
        rejected = sum(not admitted for _, _, admitted, _ in self._outcomes)
        ideal = sum(not admitted for _, _, _, admitted in self._outcomes)
        total = len(self._outcomes)
        return {
            "trouble": self._options.trouble,
            "requests": total,
            "rejected": rejected,
            "rejected_by_ideal": ideal,
            "excess": round((rejected - ideal) / total, 5),
            "overrun": round(self._find_overrun(), 4),
            "fleet_bytes_per_request": round(
                self._network.fleet_bytes / total, 1
            ),
        }

    def _find_overrun(self):
        """Return the largest relative excess in any window."""
        admitted_at = collections.defaultdict(list)
        for account, now, admitted, _ in self._outcomes:
            if admitted:
                admitted_at[account].append(now)
        largest = 0.0
        for account, times in admitted_at.items():
            limits = self._state.accounts[account]
            allowed = limits.rate_per_s * WINDOW_S + limits.burst
            times.sort()
            first = 0
            for last, now in enumerate(times):
                while now - times[first] > WINDOW_S:
                    first += 1
                count = last - first + 1
                largest = max(largest, (count - allowed) / allowed)
        return largest


def _make_settings(name, data_centre):
    # Leases and waits of the users' platform.
    return parse_settings(
        f"[vm]\nname={name}\ncluster=bench\nregion={data_centre[0]}\n"
        f"data_centre={data_centre}\n[peer]\nlisten=127.0.0.1:1\n"
        "secret_file=unused\n[control]\nreplicas=127.0.0.1:1\n"
        "[limits]\nallocator_lease_s=1.5\nbatch_lease_s=0.6\n"
        "wait_limit_s=0.3\nrefill_wait_s=0\n"
    )


async def _run(options):
    try:
        return await Fleet(options).run()
    finally:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def measure(options):
    """Return one row of the results."""
    loop = VirtualLoop()
    monotonic = clock.monotonic
    clock.monotonic = loop.time
    try:
        return loop.run_until_complete(_run(options))
    finally:
        clock.monotonic = monotonic
        loop.close()


def main():
    """Run the experiment."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--accounts", type=int, default=140)
    parser.add_argument("--data-centres", type=int, default=9)
    parser.add_argument("--vms", type=int, default=182)
    parser.add_argument("--rate", type=float, default=661.0)
    parser.add_argument(
        "--quota", type=float, default=1.6, help="limit by mean demand"
    )
    parser.add_argument("--duration-s", type=float, default=30.0)
    parser.add_argument("--trouble-s", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--troubles", nargs="+", default=["none", "cut", "restart"]
    )
    options = parser.parse_args()
    rows = []
    for trouble in options.troubles:
        options.trouble = trouble
        rows.append(measure(options))
    write_results("rates", options.seed, rows)


if __name__ == "__main__":
    main()
