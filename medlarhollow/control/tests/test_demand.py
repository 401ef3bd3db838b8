"""Demand is averaged over some seconds and forgotten after them."""

import math

import pytest

from medlarhollow.control.demand import DemandEstimator
from medlarhollow.messages.records import DemandSample


def naive(samples, now):
    """Return the average as a sum over all samples ever taken."""
    return sum(rate * math.exp((at - now) / 5.0) / 5.0 for at, rate in samples)


def test_the_average_is_that_of_a_plain_sum():
    """The decaying scale must not distort demand, also over an hour."""
    watch = DemandEstimator(1.0, 0.0)
    taken = []
    for second in range(1, 3600):
        rate = 50.0 if second % 100 < 30 else 2.0
        taken.append((second, rate))
        watch.update([DemandSample("crew", "dc-a", rate, rate / 2)], second)
        if second % 37 == 0:
            need = watch.need("crew", "dc-a")
            assert need.rate_per_s == pytest.approx(naive(taken, second))
            assert need.unmet_per_s == pytest.approx(need.rate_per_s / 2)


def test_demand_that_ended_is_forgotten():
    """Old demand must not weigh on shares, nor fill the memory."""
    watch = DemandEstimator(1.0, 0.0)
    watch.update([DemandSample("crew", "dc-a", 100.0, 50.0)], 1.0)
    assert watch.need("crew", "dc-a").rate_per_s == pytest.approx(20.0)
    watch.update([], 60.0)
    assert watch.need("crew", "dc-a").rate_per_s == 0.0
    watch.update([], 200.0)
    assert not watch._sums
