"""Division of demand over slots."""

import pytest

from medlarhollow.control.division_demand import DivisionDemand
from medlarhollow.control.division_targets import divide_demand
from medlarhollow.messages.records import WaitSample

POOL = ("plots", "1")
SLOTS = {"north": 180, "east": 36, "west": 156}


def measure_loads(demands, slots):
    divided = divide_demand(demands, slots)
    return {
        region: sum(
            divided[caller][region] * demands[caller] for caller in divided
        )
        for region in slots
    }


def test_demand_stays_in_its_region_while_that_has_room():
    """Guards latency against needless use of other regions."""
    divided = divide_demand({"north": 135.0, "east": 27.0}, SLOTS)
    assert divided["north"] == {"north": 1.0, "east": 0.0, "west": 0.0}
    assert divided["east"] == {"north": 0.0, "east": 1.0, "west": 0.0}


def test_excess_goes_to_unused_slots():
    """Guards regions with free slots against more than these."""
    demands = {"north": 100.0, "east": 90.0, "west": 80.0}
    loads = measure_loads(demands, SLOTS)
    assert loads["east"] == pytest.approx(27.0)
    assert loads["north"] == pytest.approx(100 + 63 * 35 / 72)
    assert loads["west"] == pytest.approx(80 + 63 * 37 / 72)


def test_demand_beyond_all_targets_follows_the_slots():
    """Guards a region against the whole overload of the fleet."""
    demands = dict.fromkeys(SLOTS, 310.0)
    loads = measure_loads(demands, SLOTS)
    assert sum(loads.values()) == pytest.approx(930.0)
    for region, slots in SLOTS.items():
        assert loads[region] / slots == pytest.approx(930 / 372), region


@pytest.mark.parametrize(
    "demands",
    [
        {},
        {"north": 0.0},
        {"south": 50.0},
        {"south": 900.0, "east": 0.1, "west": 400.0},
    ],
)
def test_fractions_add_up(demands):
    """Guards against objects without servers, also for the callers of a
    region that has none."""
    divided = divide_demand(demands, SLOTS)
    assert set(divided) == {name for name in demands if demands[name]}
    for fractions in divided.values():
        assert sum(fractions.values()) == pytest.approx(1.0)
        assert set(fractions) == set(SLOTS)
        assert min(fractions.values()) >= 0


def make_sample(busy_s, requests=100, wait_s=0.0, caller="east"):
    return WaitSample(caller, *POOL, "east", requests, wait_s, busy_s)


def test_average_counts_busy_slots():
    """Guards the demand of a new leader against a start from 0."""
    demand = DivisionDemand(0.0)
    for number in range(1, 7):
        demand.update([make_sample(5.0)], number * 0.5)
    measured = demand.measure(POOL, SLOTS, 3.0)
    assert measured["east"].slots == pytest.approx(10.0)
    assert measured["east"].is_measured


def test_waits_count_only_in_full_regions():
    """Guards regions with free slots, where requests wait for the servers of
    a popular object, against the loss of their objects."""
    for busy_s, expected in ((9.0, 18.0), (15.0, 60.0), (17.0, 34 + 24)):
        demand = DivisionDemand(0.0)
        wait_s = 24.0 / 2 if busy_s == 17.0 else 40.0
        for number in range(1, 7):
            demand.update([make_sample(busy_s, 100, wait_s)], number * 0.5)
        measured = demand.measure(POOL, SLOTS, 3.0)
        assert measured["east"].slots == pytest.approx(expected)


@pytest.mark.parametrize(("samples", "requests"), [(1, 100), (2, 100), (6, 2)])
def test_few_samples_support_no_change(samples, requests):
    """Guards divisions against a leader that knows a part of the demand."""
    demand = DivisionDemand(2.9 - samples * 0.5)
    for number in range(samples):
        now = 3.0 - (samples - 1 - number) * 0.5
        demand.update([make_sample(5.0, requests)], now)
    assert not demand.measure(POOL, SLOTS, 3.0)["east"].is_measured


def test_lost_samples_do_not_lower_the_average():
    """Guards against demand that seems to end while a link is down."""
    demand = DivisionDemand(0.0)
    for number in range(1, 11):
        demand.update([make_sample(5.0)], number * 0.5)
    demand.update([make_sample(1.0, caller="north")], 9.0)
    measured = demand.measure(POOL, SLOTS, 9.0)["east"]
    assert measured.slots == pytest.approx(10.0)
    assert not measured.is_measured
    demand.update([make_sample(5.0)], 9.5)
    assert demand.measure(POOL, SLOTS, 9.5)["east"].slots == pytest.approx(
        10.0
    )
    demand.update([], 20.0)
    assert demand.measure(POOL, SLOTS, 20.0) == {}
