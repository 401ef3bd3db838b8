"""Time to order the entry VMs for a look-up, by the size of the fleet."""

import random
import time

from medlarhollow.configuration import FleetState
from medlarhollow.membership import LookupOrder
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import Shift
from medlarhollow.messages.records import Vm
from medlarhollow.settings.load import parse_settings

from .report import write_results

SEED = 1
# Numbers of entry VMs, data centres and regions: today's fleet, and steps up
# to the design size.
FLEET_SIZES = [(11, 6, 3), (340, 20, 8), (1700, 72, 24), (3400, 143, 48)]
LOOKUP_COUNT = 5_000
SETTINGS = parse_settings(
    """
[vm]
name = vm-0
cluster = bench
region = region-0
data_centre = dc-0
[peer]
listen = 127.0.0.1:1
secret_file = none
[control]
replicas = 127.0.0.1:1
"""
)


def make_state(vms, data_centres, regions):
    """Return a fleet whose active preset has a weight for each region pair."""
    state = FleetState(cluster="bench", revision=1)
    for index in range(vms):
        data_centre = index % data_centres
        name = f"vm-{index}"
        state.vms[name] = Vm(
            name=name,
            region=f"region-{data_centre % regions}",
            data_centre=f"dc-{data_centre}",
            caller_address="192.0.2.1:8080",
            peer_address="192.0.2.1:7001",
        )
    weights = tuple(
        RegionWeight(f"region-{a}", f"region-{b}", 10.0 if a == b else 1.0)
        for a in range(regions)
        for b in range(regions)
    )
    state.presets["day"] = Preset("day", weights, 0.1, 2.0, 0.1)
    state.shift = Shift("day", weights, 0.5)
    return state


def measure(vms, data_centres, regions, rng):
    """Return the times of a look-up, in microseconds."""
    state = make_state(vms, data_centres, regions)
    order = LookupOrder(SETTINGS)
    order.list(state, "region-1")
    callers = [
        (f"region-{rng.randrange(regions)}", rng.getrandbits(32))
        for _ in range(LOOKUP_COUNT)
    ]
    started = time.perf_counter()
    for region, spread in callers:
        order.list(state, region, spread=spread)
    per_lookup_s = (time.perf_counter() - started) / LOOKUP_COUNT
    started = time.perf_counter()
    state.revision += 1
    order.list(state, "region-1")
    return {
        "entry_vms": vms,
        "data_centres": data_centres,
        "regions": regions,
        "lookup_us": per_lookup_s * 1e6,
        "after_a_change_us": (time.perf_counter() - started) * 1e6,
    }


def main():
    """Run the experiment."""
    rng = random.Random(SEED)
    rows = [measure(*size, rng) for size in FLEET_SIZES]
    write_results("lookup_order", SEED, rows)


if __name__ == "__main__":
    main()
