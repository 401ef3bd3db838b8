"""Tests of the detections and the false alarm rate of the detector."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from medlarhollow.moves.regression import RegressionDetector

from .simulation import sample

ALPHA = 0.01


def run_detector(seed, blocks, new, old, requests=(2, 20), detector=None):
    """Return the block and the text of the detector's finding.

    `new` and `old` map a block number to the rates of each stratum.
    """
    rng = random.Random(seed)
    detector = detector or RegressionDetector(ALPHA)
    for block in range(blocks):
        for key in new(block):
            route, region = key
            labels = {"route": route, "region": region}
            for version, rates, size in (
                ("2", new(block)[key], requests[0]),
                ("1", old(block)[key], requests[1]),
            ):
                record = sample(rng, version, size, **rates, **labels)
                detector.add(record, new=version == "2")
        detector.close()
        if detector.finding:
            return block, detector.finding
    return None, ""


def constant_rates(routes=1, **rates):
    strata = {(f"/r{number}", "n"): rates for number in range(routes)}
    return lambda block: strata


@pytest.mark.parametrize(
    ("rates", "routes", "requests"),
    [
        ({"errors": 0.01}, 1, (1, 5)),
        ({"errors": 0.3, "slow": 0.2}, 1, (3, 3)),
        ({"unanswered": 0.05}, 3, (1, 10)),
    ],
)
def test_equal_versions_raise_false_alarms_in_at_most_1_percent(
    rates, routes, requests
):
    """Guards against rolling back a good version by chance, although the
    detector tests after every block."""
    same = constant_rates(routes, **rates)
    runs = 200
    alarms = sum(
        run_detector(seed, 40, same, same, requests)[0] is not None
        for seed in range(runs)
    )
    assert alarms <= runs * ALPHA


def test_errors_of_both_versions_are_not_a_regression():
    """Guards against a false alarm when a shared dependency fails: a test
    against the past of the old version would raise one."""

    def shared_outage(block):
        rate = 0.6 if block % 10 > 6 else 0.01
        return {("/r0", "n"): {"errors": rate}}

    alarms = sum(
        run_detector(seed, 60, shared_outage, shared_outage)[0] is not None
        for seed in range(100)
    )
    assert alarms <= 1


def test_regions_with_different_rates_are_not_pooled():
    """Guards against a false alarm when the new version runs only in a region
    with many errors, while the old one runs in all regions."""

    detector = RegressionDetector(ALPHA)
    rng = random.Random(1)
    for _ in range(100):
        for region, new, errors in (("n", 0, 0.0), ("s", 5, 0.4)):
            labels = {"region": region}
            detector.add(sample(rng, "1", 20, errors, **labels), new=False)
            detector.add(sample(rng, "2", new, errors, **labels), new=True)
        detector.close()
    assert detector.finding == ""


def test_fewer_than_100_requests_suffice():
    """Guards services with little traffic during a move."""
    good, bad = constant_rates(errors=0.01), constant_rates(errors=0.5)
    blocks = [
        run_detector(seed, 33, bad, good, (1, 2))[0] for seed in range(100)
    ]
    assert sum(block is not None for block in blocks) >= 97


@pytest.mark.parametrize("kind", ["errors", "slow", "unanswered"])
def test_each_kind_of_bad_outcome_is_detected(kind):
    """Guards against detecting errors only: slow and missing responses are
    no errors."""
    good, bad = constant_rates(errors=0.01), constant_rates(**{kind: 0.3})
    block, finding = run_detector(1, 200, bad, good)
    assert block is not None
    assert finding.startswith(f"worse than the old version: {kind}")


def test_a_single_bad_route_among_many_is_detected():
    """Guards against a regression on one of ten routes that the sum over all
    routes hides."""
    good = constant_rates(10, errors=0.02)
    rates = {**good(0), ("/r7", "n"): {"errors": 0.6}}
    block, finding = run_detector(1, 200, lambda _: rates, good, (1, 5))
    assert block is not None
    assert "route '/r7' in region 'n'" in finding


def test_a_fault_after_many_good_blocks_is_detected_soon():
    """Guards the restarts: without them, earlier good blocks outweigh as many
    bad ones."""
    good, bad = {"errors": 0.01}, {"errors": 0.3}

    def late_fault(block):
        return {("/r0", "n"): bad if block >= 1000 else good}

    for seed in range(5):
        block, _ = run_detector(
            seed, 1200, late_fault, constant_rates(**good), (5, 5)
        )
        assert 1000 <= block < 1040


def test_blocks_without_both_versions_are_no_evidence():
    """Guards the counts of one version, which wait for the other's."""
    detector = RegressionDetector(ALPHA)
    rng = random.Random(1)
    for _ in range(100):
        detector.add(sample(rng, "2", 10, errors=1.0), new=True)
        detector.close()
    assert detector.finding == ""
    detector.add(sample(rng, "1", 10), new=False)
    detector.close()
    assert detector.finding


@settings(max_examples=100, deadline=None)
@given(
    blocks=st.lists(
        st.tuples(
            st.integers(0, 30),
            st.floats(0, 1),
            st.integers(0, 30),
            st.floats(0, 1),
        ),
        max_size=60,
    )
)
def test_detector_agrees_with_a_fixed_sample_test_in_clear_cases(blocks):
    """Guards against a sign or scale error: a highly significant result of a
    fixed-sample test must be detected, and a version that was never worse in
    any block must not."""
    detector = RegressionDetector(ALPHA)
    new_bad = new_count = old_bad = old_count = 0
    never_worse = True
    for new, new_rate, old, old_rate in blocks:
        bad = round(new * new_rate), round(old * old_rate)
        record = sample(random.Random(0), "2", new)
        detector.add(type(record)("s", "2", "/r", "n", new, bad[0]), new=True)
        detector.add(type(record)("s", "1", "/r", "n", old, bad[1]), new=False)
        detector.close()
        new_bad, new_count = new_bad + bad[0], new_count + new
        old_bad, old_count = old_bad + bad[1], old_count + old
        if not (new and old) or bad[0] * old > bad[1] * new:
            never_worse = False
    if never_worse:
        assert detector.finding == ""
    if new_count and old_count:
        steady = len({(b[1], b[3]) for b in blocks}) == 1
        if steady and z_score(new_bad, new_count, old_bad, old_count) > 9:
            assert detector.finding


def z_score(new_bad, new_count, old_bad, old_count):
    """Return the statistic of the fixed-sample two-proportion z-test."""
    pooled = (new_bad + old_bad) / (new_count + old_count)
    spread = pooled * (1 - pooled) * (1 / new_count + 1 / old_count)
    if not spread:
        return 0.0
    return (new_bad / new_count - old_bad / old_count) / spread**0.5
