"""Memory and processing time of the fleet state by the number of keys."""

import gc
import time
import tracemalloc

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.configuration import generate_key
from medlarhollow.messages import decode
from medlarhollow.messages import encode
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import IssueKey
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import StateSnapshot
from medlarhollow.messages.records import Vm

from .report import fit_line
from .report import write_results

KEY_COUNTS = [2_000, 5_000, 10_000, 20_000]
ACCOUNT_COUNT = 200
VM_COUNT = 3_400


def make_changes(count):
    """Yield changes that create a fleet state with `count` keys."""
    yield from (
        PutAccount(Account(f"account-{number}", 100.0, 200.0))
        for number in range(ACCOUNT_COUNT)
    )
    for number in range(VM_COUNT):
        yield SetVm(
            Vm(
                name=f"vm-{number}",
                incarnation=f"{number:032x}",
                region=f"region-{number % 48}",
                data_centre=f"dc-{number % 143}",
                caller_address="192.0.2.1:8080",
                peer_address="192.0.2.1:7001",
            )
        )
    for number in range(count):
        yield IssueKey(generate_key(f"account-{number % ACCOUNT_COUNT}")[1])


def measure(count):
    """Return the measurements of a state with `count` keys."""
    bodies = list(make_changes(count))
    state = FleetState(cluster="bench")
    started = time.perf_counter()
    for body in bodies:
        assert apply(body, state, 0.0).is_ok()
    apply_us = (time.perf_counter() - started) / len(bodies) * 1e6
    started = time.perf_counter()
    data = encode(state.snapshot())
    encode_s = time.perf_counter() - started
    del state, bodies
    gc.collect()
    started = time.perf_counter()
    restored = FleetState.from_snapshot(decode(StateSnapshot, data))
    decode_s = time.perf_counter() - started
    del restored
    gc.collect()
    tracemalloc.start()
    restored = FleetState.from_snapshot(decode(StateSnapshot, data))
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(restored.keys) == count
    return {
        "keys": count,
        "vms": VM_COUNT,
        "apply_us_per_change": apply_us,
        "snapshot_mb": len(data) / 1e6,
        "encode_s": encode_s,
        "decode_s": decode_s,
        "memory_mb": memory_bytes / 1e6,
    }


def main():
    """Run the experiment."""
    rows = [measure(count) for count in KEY_COUNTS]
    lines = {
        key: fit_line([(row["keys"], row[key]) for row in rows])
        for key in ("memory_mb", "snapshot_mb", "decode_s")
    }
    write_results(
        "state_size",
        None,
        rows,
        memory_bytes_per_key=lines["memory_mb"].per_unit * 1e6,
        memory_mb_without_keys=lines["memory_mb"].base,
        snapshot_bytes_per_key=lines["snapshot_mb"].per_unit * 1e6,
        decode_us_per_key=lines["decode_s"].per_unit * 1e6,
    )


if __name__ == "__main__":
    main()
