"""Shares follow demand and never sum to more than their account."""

import math

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from medlarhollow.control.allocators import plan_allocators
from medlarhollow.control.demand import DemandEstimator
from medlarhollow.control.shares import divide_account
from medlarhollow.control.shares import plan_shares
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import DemandSample
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import VmState

from .fleet import accept
from .fleet import make_leases
from .fleet import make_state
from .fleet import report
from .fleet import vm

TICK_S = 0.5


class Fleet:
    """Data centres with one VM each, whose allocators take shares over when
    told to."""

    def __init__(self, *names):
        self.now = 0.0
        self.names = names
        self.state = make_state(*names)
        self.leases = make_leases()
        self.demand = DemandEstimator(TICK_S, 0.0)
        self.taken = {name: {} for name in names}
        self.epochs = dict.fromkeys(names, 0)
        self.commits = 0
        for change in plan_allocators(self.state, self.leases, self.now):
            accept(self.state, change)

    def take_over(self, name):
        """Let the allocator of a data centre learn the agreed shares."""
        data_centre = f"dc-{name[0]}"
        shares = {
            place[0]: share
            for place, share in self.state.shares.items()
            if place[1] == data_centre
        }
        self.taken[name] = shares
        self.epochs[name] = max(
            (share.epoch for share in shares.values()), default=0
        )

    def tick(self, rates, takes=None, silent=()):
        """Report demand, plan and commit; return whether anything was due."""
        self.now += TICK_S
        self.demand.update(
            [
                DemandSample("crew", f"dc-{name[0]}", rate, unmet)
                for name, (rate, unmet) in rates.items()
            ],
            self.now,
        )
        for name in self.names if takes is None else takes:
            if name not in silent:
                self.take_over(name)
        reports = [
            report(vm(name), self.epochs[name])
            for name in self.names
            if name not in silent
        ]
        self.leases.update(reports, self.now)
        body = plan_shares(self.state, self.demand, self.leases, self.now)
        if body is not None:
            accept(self.state, body)
            self.commits += 1
        self.check_sums(silent)
        return body is not None

    def check_sums(self, silent=()):
        account = self.state.accounts["crew"]
        for field in ("rate_per_s", "burst"):
            held = [getattr(s, field) for s in self.state.shares.values()]
            used = [
                getattr(shares["crew"], field)
                for name, shares in self.taken.items()
                if "crew" in shares and name not in silent
            ]
            limit = getattr(account, field) * (1 + 1e-9)
            assert math.fsum(held) <= limit
            assert math.fsum(used) <= limit

    def shares(self):
        return {
            place[1]: share.rate_per_s
            for place, share in self.state.shares.items()
        }


def run(fleet, rates, ticks=40):
    """Return how many commits some time of demand costs."""
    before = fleet.commits
    for _ in range(ticks):
        fleet.tick(rates)
    return fleet.commits - before


def test_a_new_account_is_divided_at_once():
    """Its callers would be refused until then."""
    fleet = Fleet("a1", "b1")
    assert fleet.tick({})
    assert fleet.shares() == pytest.approx({"dc-a": 50.0, "dc-b": 50.0})


def test_shares_follow_demand_in_two_changes():
    """The decrease comes first, the increase once it was taken over."""
    fleet = Fleet("a1", "b1")
    fleet.tick({})
    rates = {"a1": (80.0, 20.0), "b1": (5.0, 0.0)}
    assert any(fleet.tick(rates, takes=()) for _ in range(100))
    lowered = fleet.shares()
    assert lowered["dc-a"] == pytest.approx(50.0)
    assert lowered["dc-b"] < 30.0
    for _ in range(20):
        assert not fleet.tick(rates, takes=("a1",))
    assert fleet.shares() == lowered
    assert fleet.tick(rates, takes=("b1",))
    assert fleet.shares()["dc-a"] > 70.0
    assert sum(fleet.shares().values()) == pytest.approx(100.0)


def test_a_dead_allocator_delays_an_increase_by_its_lease_only():
    """Its share would be lost to the others for as long as it is away."""
    fleet = Fleet("a1", "b1")
    fleet.tick({})
    rates = {"a1": (80.0, 20.0), "b1": (5.0, 0.0)}
    assert any(fleet.tick(rates, takes=()) for _ in range(100))
    started = fleet.now
    while not fleet.tick(rates, silent=("b1",)):
        assert fleet.now - started < 6.0
    assert fleet.now - started >= 4.5
    assert fleet.shares()["dc-a"] > 70.0


def test_an_idle_fleet_commits_nothing():
    """Every commit goes to all VMs of the fleet."""
    fleet = Fleet("a1", "b1", "c1")
    fleet.tick({})
    assert run(fleet, {}, 200) == 0
    assert run(fleet, {"a1": (3.0, 0.0), "b1": (0.1, 0.0)}, 200) == 0


def test_steady_demand_settles():
    """An account that sends several times its rate must not make the shares
    swing for ever."""
    fleet = Fleet("a1", "b1", "c1")
    rates = {"a1": (300.0, 200.0), "b1": (60.0, 40.0), "c1": (30.0, 20.0)}
    run(fleet, rates)
    assert run(fleet, rates, 200) == 0
    assert fleet.shares()["dc-a"] > 55.0


def test_every_data_centre_keeps_a_floor():
    """Callers that come to a quiet data centre must get something."""
    fleet = Fleet("a1", "b1", "c1")
    run(fleet, {"a1": (300.0, 200.0)})
    for name in ("dc-b", "dc-c"):
        assert fleet.shares()[name] >= 100.0 * 0.2 / 3 - 1e-6
        assert fleet.state.shares[("crew", name)].burst >= 1.0


def test_a_lost_data_centre_gives_its_share_back():
    """Otherwise the account would get less than its rate until it returns,
    and when it returns it must get a share again."""
    fleet = Fleet("a1", "b1")
    run(fleet, {"a1": (40.0, 0.0), "b1": (40.0, 0.0)})
    fleet.state.vms.pop("b1")
    started = fleet.now
    while len(fleet.shares()) > 1 or fleet.shares()["dc-a"] < 99.9:
        fleet.tick({"a1": (80.0, 30.0)}, takes=("a1",), silent=("b1",))
        assert fleet.now - started < 10.0
    assert fleet.now - started >= 4.5
    accept(fleet.state, SetVm(vm("b1")))
    run(fleet, {"a1": (80.0, 30.0)}, 10)
    assert fleet.shares()["dc-b"] >= 9.9


def test_a_burst_smaller_than_the_number_of_data_centres_is_usable():
    """A bucket of less than one token never admits a request."""
    shares = divide_account(
        Account("crew", 10.0, 2.5), {"a": 0.5, "b": 50.0, "c": 1.0}
    )
    assert set(shares) == {"b", "c"}
    assert min(share.burst for share in shares.values()) >= 1
    assert sum(share.burst for share in shares.values()) == 2.5
    fleet = Fleet("a1", "b1", "c1")
    run(fleet, {})
    accept(fleet.state, PutAccount(Account("crew", 10.0, 2.0)))
    run(fleet, {}, 20)
    bursts = [share.burst for share in fleet.state.shares.values()]
    assert sorted(bursts) == pytest.approx([0.0, 1.0, 1.0])
    # Small differences in demand must not move the few tokens about.
    rates = {"a1": (1.0, 0.0), "b1": (0.3, 0.0), "c1": (0.35, 0.0)}
    assert run(fleet, rates, 50) == 0


def test_a_draining_data_centre_keeps_its_share():
    """Its running callers still need tokens."""
    fleet = Fleet("a1", "b1")
    fleet.tick({})
    accept(fleet.state, SetVm(vm("b1", state=VmState.DRAINING)))
    assert run(fleet, {}, 40) == 0
    assert fleet.shares()["dc-b"] == pytest.approx(50.0)


@settings(max_examples=100, deadline=None)
@given(st.data())
def test_any_order_of_take_overs_keeps_the_sum(data):
    """Allocators learn of changes in any order and some fall silent; what
    they use together must stay within the account, and in the end the shares
    must be close to a plain division by demand."""
    names = ("a1", "b1", "c1")
    fleet = Fleet(*names)
    some = st.sets(st.sampled_from(names))
    for _ in range(data.draw(st.integers(0, 12))):
        rates = {
            name: (data.draw(st.sampled_from([0.0, 5.0, 50.0, 400.0])), 1.0)
            for name in names
        }
        if data.draw(st.integers(0, 5)) == 0:
            figures = st.sampled_from([5.0, 30.0, 100.0])
            account = Account("crew", data.draw(figures), data.draw(figures))
            accept(fleet.state, PutAccount(account))
            for name in names:
                fleet.take_over(name)
        for _ in range(data.draw(st.integers(1, 8))):
            fleet.tick(rates, takes=data.draw(some))
    rates = {
        name: (data.draw(st.sampled_from([40.0, 200.0, 800.0])), 40.0)
        for name in names
    }
    for _ in range(120):
        fleet.tick(rates)
    account = fleet.state.accounts["crew"]
    naive = divide_account(
        account,
        {f"dc-{name[0]}": rates[name][0] for name in names},
    )
    for place, rate in fleet.shares().items():
        difference = abs(rate - naive[place].rate_per_s)
        assert difference <= 0.1 * account.rate_per_s + 1e-6
    assert sum(fleet.shares().values()) == pytest.approx(account.rate_per_s)
