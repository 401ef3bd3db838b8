"""Time of ordering entry VMs for one look-up against the size of the fleet."""

import random
import time

from medlarhollow.configuration import FleetState
from medlarhollow.membership import LookupOrder
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import Shift
from medlarhollow.messages.records import Vm
from medlarhollow.settings.load import parse_settings

from .report import write

SEED = 1
# Entry VMs, data centres, regions: today, and steps up to the design size.
FLEETS = [(11, 6, 3), (340, 20, 8), (1700, 72, 24), (3400, 143, 48)]
LOOKUPS = 5_000
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
    """Return a fleet whose active preset has a weight for each pair."""
    state = FleetState(cluster="bench", revision=1)
    for number in range(vms):
        centre = number % data_centres
        name = f"vm-{number}"
        state.vms[name] = Vm(
            name=name,
            region=f"region-{centre % regions}",
            data_centre=f"dc-{centre}",
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


def measure(vms, data_centres, regions, source):
    """Return the time of one look-up, in microseconds."""
    state = make_state(vms, data_centres, regions)
    order = LookupOrder(SETTINGS)
    order.list(state, "region-1")
    callers = [
        (f"region-{source.randrange(regions)}", source.getrandbits(32))
        for _ in range(LOOKUPS)
    ]
    started = time.perf_counter()
    for region, spread in callers:
        order.list(state, region, spread=spread)
    per_lookup_s = (time.perf_counter() - started) / LOOKUPS
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
    source = random.Random(SEED)
    rows = [measure(*fleet, source) for fleet in FLEETS]
    write("lookup_order", SEED, rows)


if __name__ == "__main__":
    main()
