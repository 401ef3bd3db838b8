"""Bytes of the totals of requests in Sync, by VM and by data centre.

Entry VMs count in virtual time and send what changed every 0.5 s. The encoded
samples are measured at one VM; relays forward them unchanged, so the bytes at
the leader are those of all VMs. Sums by data centre are measured on the same
load with one source for each data centre.
"""

import argparse
import random
import time

from medlarhollow.messages import encode
from medlarhollow.messages.records import SyncRequest
from medlarhollow.settings.load import parse_settings
from medlarhollow.usage.counter import UsageCounter
from medlarhollow.usage.fleet_clock import FleetClock
from medlarhollow.usage.totals import UsagePosition
from medlarhollow.usage.totals import UsageTotals

from .report import write_results

ACCOUNTS = 85
# Entry VMs, data centres and attempts a second of each VM.
FLEETS = [(85, 6, 15.0), (3400, 143, 15.0), (3400, 143, 1200.0)]
DURATION_S = 60.0
SYNC_S = 0.5
INCARNATION = "0123456789abcdef" * 2
SETTINGS = parse_settings(
    "[vm]\nname = entry-vm-0017\ncluster = bench\nregion = r\n"
    "data_centre = d\n[peer]\nlisten = 127.0.0.1:1\nsecret_file = none\n"
    "[control]\nreplicas = 127.0.0.1:1\n[usage]\nreceiver = 192.0.2.1:80\n"
)


def measure_source(rate_per_s, generator):
    """Return bytes a second and bytes of all totals of one source."""
    fleet_clock = FleetClock()
    fleet_clock.add_fleet_time(1.8e9, 0.0, 0.0, 0.0)
    counter = UsageCounter(SETTINGS, INCARNATION, fleet_clock)
    totals = UsageTotals(SETTINGS, fleet_clock)
    position = UsagePosition()
    sent = 0
    for step in range(int(DURATION_S / SYNC_S)):
        now = step * SYNC_S
        for _ in range(int(rate_per_s * SYNC_S + generator.random())):
            account = f"kaje{generator.randrange(ACCOUNTS)}"
            counter.end(counter.start(account, now), True)
        totals.add(counter.list_samples(now), now)
        samples, position = totals.list_changes(now, position)
        sent += len(encode(SyncRequest(usage=samples)))
    everything = len(encode(SyncRequest(usage=totals.list_samples(now))))
    return sent / DURATION_S, everything


def measure_merge(vms):
    """Return the time in milliseconds to merge one window of all VMs."""
    fleet_clock = FleetClock()
    fleet_clock.add_fleet_time(1.8e9, 0.0, 0.0, 0.0)
    counter = UsageCounter(SETTINGS, INCARNATION, fleet_clock)
    for account in range(ACCOUNTS):
        counter.end(counter.start(f"kaje{account}", 0.0), True)
    (sample,) = [item for item in counter.list_samples(0.0) if item.counts]
    samples = [
        type(sample)(f"vm-{number}", "1", sample.window, sample.counts)
        for number in range(vms)
    ]
    totals = UsageTotals(SETTINGS, fleet_clock)
    started_at = time.process_time()
    totals.add(samples, 0.0)
    return (time.process_time() - started_at) * 1000


def main():
    """Measure the fleets and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    generator = random.Random(seed)
    rows = []
    for vms, centres, rate_per_s in FLEETS:
        by_vm, all_by_vm = measure_source(rate_per_s, generator)
        by_centre, all_by_centre = measure_source(
            rate_per_s * vms / centres, generator
        )
        rows.append(
            {
                "vms": vms,
                "data_centres": centres,
                "attempts_per_s_and_vm": rate_per_s,
                "vm_bytes_per_s": round(by_vm),
                "leader_bytes_per_s_by_vm": round(by_vm * vms),
                "leader_bytes_per_s_by_data_centre": round(
                    by_centre * centres
                ),
                "new_leader_bytes_by_vm": all_by_vm * vms,
                "new_leader_bytes_by_data_centre": all_by_centre * centres,
                "merge_window_ms": round(measure_merge(vms), 1),
            }
        )
    write_results("usage_bytes", seed, rows)


if __name__ == "__main__":
    main()
