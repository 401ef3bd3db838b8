"""What the judge finds, and how seldom it is wrong."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from medlarhollow.moves.regression import RegressionDetector

from .simulation import sample

ALPHA = 0.01


def watch(seed, blocks, new, old, requests=(2, 20), judge=None):
    """Judge blocks of both versions; return the block of the finding.

    `new` and `old` return the rates of a block on a place.
    """
    rng = random.Random(seed)
    judge = judge or RegressionDetector(ALPHA)
    for block in range(blocks):
        for place in new(block):
            route, region = place
            at = {"route": route, "region": region}
            for version, rates, size in (
                ("2", new(block)[place], requests[0]),
                ("1", old(block)[place], requests[1]),
            ):
                record = sample(rng, version, size, **rates, **at)
                judge.add(record, new=version == "2")
        judge.close()
        if judge.finding:
            return block, judge.finding
    return None, ""


def everywhere(routes=1, **rates):
    places = {(f"/r{number}", "n"): rates for number in range(routes)}
    return lambda block: places


@pytest.mark.parametrize(
    ("rates", "routes", "requests"),
    [
        ({"errors": 0.01}, 1, (1, 5)),
        ({"errors": 0.3, "slow": 0.2}, 1, (3, 3)),
        ({"unanswered": 0.05}, 3, (1, 10)),
    ],
)
def test_equal_versions_are_found_bad_in_at_most_1_percent(
    rates, routes, requests
):
    """A good version must not be rolled back for chance alone, although the
    judge looks after every block."""
    same = everywhere(routes, **rates)
    runs = 200
    alarms = sum(
        watch(seed, 40, same, same, requests)[0] is not None
        for seed in range(runs)
    )
    assert alarms <= runs * ALPHA


def test_a_wave_of_errors_on_both_versions_is_not_held_against_the_new_one():
    """A backend that both versions need may fail; a test against the past
    of the old version would find the new one bad."""

    def wave(block):
        rate = 0.6 if block % 10 > 6 else 0.01
        return {("/r0", "n"): {"errors": rate}}

    alarms = sum(
        watch(seed, 60, wave, wave)[0] is not None for seed in range(100)
    )
    assert alarms <= 1


def test_regions_with_other_rates_are_not_mixed():
    """The new version runs in a bad region only; compared with the old one
    over all regions it would look bad."""

    judge = RegressionDetector(ALPHA)
    rng = random.Random(1)
    for _ in range(100):
        for region, new, errors in (("n", 0, 0.0), ("s", 5, 0.4)):
            at = {"region": region}
            judge.add(sample(rng, "1", 20, errors, **at), new=False)
            judge.add(sample(rng, "2", new, errors, **at), new=True)
        judge.close()
    assert judge.finding == ""


def test_fewer_than_100_requests_suffice():
    """Small services see little traffic in a move."""
    good, bad = everywhere(errors=0.01), everywhere(errors=0.5)
    found = [watch(seed, 33, bad, good, (1, 2))[0] for seed in range(100)]
    assert sum(block is not None for block in found) >= 97


@pytest.mark.parametrize("kind", ["errors", "slow", "unanswered"])
def test_each_kind_of_bad_answer_is_found(kind):
    """A version that answers slowly or never makes no errors."""
    good, bad = everywhere(errors=0.01), everywhere(**{kind: 0.3})
    block, finding = watch(1, 200, bad, good)
    assert block is not None
    assert finding.startswith(f"worse than the old version: {kind}")


def test_a_single_bad_route_among_many_is_found():
    """One route of ten hides in the sum over all routes."""
    good = everywhere(10, errors=0.02)
    one = {**good(0), ("/r7", "n"): {"errors": 0.6}}
    block, finding = watch(1, 200, lambda _: one, good, (1, 5))
    assert block is not None
    assert "route '/r7' in region 'n'" in finding


def test_a_fault_after_many_good_blocks_is_found_soon():
    """Without restarts, the good blocks outweigh the bad ones for as long
    as they lasted."""
    good, bad = {"errors": 0.01}, {"errors": 0.3}

    def late(block):
        return {("/r0", "n"): bad if block >= 1000 else good}

    for seed in range(5):
        block, _ = watch(seed, 1200, late, everywhere(**good), (5, 5))
        assert 1000 <= block < 1040


def test_blocks_without_both_versions_say_nothing():
    """There is nothing to compare with; the counts wait for the other."""
    judge = RegressionDetector(ALPHA)
    rng = random.Random(1)
    for _ in range(100):
        judge.add(sample(rng, "2", 10, errors=1.0), new=True)
        judge.close()
    assert judge.finding == ""
    judge.add(sample(rng, "1", 10), new=False)
    judge.close()
    assert judge.finding


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
def test_the_judge_agrees_with_a_fixed_sample_test_where_it_is_certain(blocks):
    """Guards against a sign or scale fault: what a plain test of the sums
    finds far beyond chance must be found, and a version that was never worse
    in any block must not."""
    judge = RegressionDetector(ALPHA)
    new_bad = new_count = old_bad = old_count = 0
    never_worse = True
    for new, new_rate, old, old_rate in blocks:
        bad = round(new * new_rate), round(old * old_rate)
        record = sample(random.Random(0), "2", new)
        judge.add(type(record)("s", "2", "/r", "n", new, bad[0]), new=True)
        judge.add(type(record)("s", "1", "/r", "n", old, bad[1]), new=False)
        judge.close()
        new_bad, new_count = new_bad + bad[0], new_count + new
        old_bad, old_count = old_bad + bad[1], old_count + old
        if not (new and old) or bad[0] * old > bad[1] * new:
            never_worse = False
    if never_worse:
        assert judge.finding == ""
    if new_count and old_count:
        steady = len({(b[1], b[3]) for b in blocks}) == 1
        if steady and z_score(new_bad, new_count, old_bad, old_count) > 9:
            assert judge.finding


def z_score(new_bad, new_count, old_bad, old_count):
    """Return the statistic of the two-proportion test with fixed samples."""
    pooled = (new_bad + old_bad) / (new_count + old_count)
    spread = pooled * (1 - pooled) * (1 / new_count + 1 / old_count)
    if not spread:
        return 0.0
    return (new_bad / new_count - old_bad / old_count) / spread**0.5
