"""Tests of the moving averages of demand."""

import math

import pytest

from medlarhollow.control.demand import DemandEstimator
from medlarhollow.messages.records import DemandSample


def reference_average(samples, now):
    """Return the moving average, computed directly from all samples."""
    return sum(
        rate * math.exp((sampled_at - now) / 5.0) / 5.0
        for sampled_at, rate in samples
    )


def test_average_matches_direct_computation():
    """Rescaling the decaying sums must not distort the average, not even after
    an hour."""
    estimator = DemandEstimator(1.0, 0.0)
    samples = []
    for second in range(1, 3600):
        rate = 50.0 if second % 100 < 30 else 2.0
        samples.append((second, rate))
        estimator.update(
            [DemandSample("crew", "dc-a", rate, rate / 2)], second
        )
        if second % 37 == 0:
            average = estimator.average("crew", "dc-a")
            assert average.rate_per_s == pytest.approx(
                reference_average(samples, second)
            )
            assert average.unmet_per_s == pytest.approx(average.rate_per_s / 2)


def test_past_demand_decays_and_is_removed():
    """Past demand must not affect shares or use up memory."""
    estimator = DemandEstimator(1.0, 0.0)
    estimator.update([DemandSample("crew", "dc-a", 100.0, 50.0)], 1.0)
    assert estimator.average("crew", "dc-a").rate_per_s == pytest.approx(20.0)
    estimator.update([], 60.0)
    assert estimator.average("crew", "dc-a").rate_per_s == 0.0
    estimator.update([], 200.0)
    assert not estimator._sums
