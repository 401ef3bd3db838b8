"""False alarms and detection delay of the regression detector of moves.

Run with ``python -m bench.judge``.
"""

import random

from medlarhollow.messages.records import VersionSample
from medlarhollow.moves.regression import RegressionDetector

from .report import write_results

SEED = 1
FALSE_ALARM_RATE = 0.01
# Name, runs, blocks, routes, requests of the new and the old version in a
# block, rates of bad responses of the new and the old version, and the block
# at which the fault begins.
CASES = (
    ("equal, 1%", 1000, 100, 1, 1, 10, 0.01, 0.01, 0),
    ("equal, 10%", 1000, 100, 1, 3, 10, 0.10, 0.10, 0),
    ("equal, 30%", 500, 200, 1, 5, 5, 0.30, 0.30, 0),
    ("equal, 2%, 3 routes", 300, 100, 3, 2, 10, 0.02, 0.02, 0),
    ("all bad", 200, 400, 1, 1, 100, 1.00, 0.01, 0),
    ("half bad", 200, 400, 1, 1, 100, 0.50, 0.01, 0),
    ("20% bad", 200, 400, 1, 1, 20, 0.20, 0.01, 0),
    ("5% bad", 200, 400, 1, 5, 20, 0.05, 0.01, 0),
    ("30% bad after 300 blocks", 100, 600, 1, 5, 5, 0.30, 0.01, 300),
)


def run(
    seed, blocks, routes, new_count, old_count, new_rate, old_rate, fault_at
):
    """Return the number of requests of the new version until detection.

    They are counted from the beginning of the fault; None if the detector
    finds nothing.
    """
    rng = random.Random(seed)
    detector = RegressionDetector(FALSE_ALARM_RATE)
    request_count = 0
    for block in range(blocks):
        for route in range(routes):
            faulty = block >= fault_at
            for version, count, rate in (
                ("2", new_count, new_rate if faulty else old_rate),
                ("1", old_count, old_rate),
            ):
                bad = sum(rng.random() < rate for _ in range(count))
                sample = VersionSample(
                    "s", version, f"/{route}", "n", count, bad
                )
                detector.add(sample, new=version == "2")
            request_count += new_count if faulty else 0
        detector.close()
        if detector.finding:
            return request_count
    return None


def measure(name, runs, blocks, *case):
    """Return one row of the results."""
    detections = sorted(
        request_count
        for seed in range(SEED, SEED + runs)
        if (request_count := run(seed, blocks, *case)) is not None
    )
    return {
        "case": name,
        "runs": runs,
        "found": len(detections),
        "median_new_requests": detections[len(detections) // 2]
        if detections
        else None,
        "most_new_requests": detections[-1] if detections else None,
    }


def main():
    """Run the experiment."""
    rows = [measure(*case) for case in CASES]
    equal = [row for row in rows if row["case"].startswith("equal")]
    write_results(
        "judge",
        SEED,
        rows,
        false_alarms=sum(row["found"] for row in equal),
        equal_runs=sum(row["runs"] for row in equal),
    )


if __name__ == "__main__":
    main()
