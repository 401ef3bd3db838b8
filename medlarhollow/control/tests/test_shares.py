"""Tests that shares follow demand and never exceed their account in total."""

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
from medlarhollow.messages.records import Share
from medlarhollow.messages.records import VmState

from .fleet import accept
from .fleet import make_leases
from .fleet import make_state
from .fleet import report
from .fleet import vm

ROUND_S = 0.5


class Fleet:
    """Simulation of data centres with one VM each, whose allocators apply new
    shares on request."""

    def __init__(self, *names):
        self.now = 0.0
        self.names = names
        self.state = make_state(*names)
        self.leases = make_leases()
        self.demand = DemandEstimator(ROUND_S, 0.0)
        self.applied = {name: {} for name in names}
        self.epochs = dict.fromkeys(names, 0)
        self.commits = 0
        for change in plan_allocators(self.state, self.leases, self.now):
            accept(self.state, change)

    def apply_shares(self, name):
        """Let the allocator of a data centre apply the replicated shares."""
        data_centre = f"dc-{name[0]}"
        shares = {
            key[0]: share
            for key, share in self.state.shares.items()
            if key[1] == data_centre
        }
        self.applied[name] = shares
        self.epochs[name] = max(
            (share.epoch for share in shares.values()), default=0
        )

    def tick(self, rates, applying=None, silent=()):
        """Report demand, plan and commit; return whether a change was due."""
        self.now += ROUND_S
        self.demand.update(
            [
                DemandSample("crew", f"dc-{name[0]}", rate, unmet)
                for name, (rate, unmet) in rates.items()
            ],
            self.now,
        )
        for name in self.names if applying is None else applying:
            if name not in silent:
                self.apply_shares(name)
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
            allocated = [getattr(s, field) for s in self.state.shares.values()]
            used = [
                getattr(shares["crew"], field)
                for name, shares in self.applied.items()
                if "crew" in shares and name not in silent
            ]
            limit = getattr(account, field) * (1 + 1e-9)
            assert math.fsum(allocated) <= limit
            assert math.fsum(used) <= limit

    def shares(self):
        return {
            key[1]: share.rate_per_s
            for key, share in self.state.shares.items()
        }


def run(fleet, rates, ticks=40):
    """Return the number of commits during a period of constant demand."""
    before = fleet.commits
    for _ in range(ticks):
        fleet.tick(rates)
    return fleet.commits - before


def test_new_account_is_divided_at_once():
    """Guards against callers of a new account being rejected until it is
    divided."""
    fleet = Fleet("a1", "b1")
    assert fleet.tick({})
    assert fleet.shares() == pytest.approx({"dc-a": 50.0, "dc-b": 50.0})


def test_shares_follow_demand_in_two_changes():
    """The decrease is first; the increase follows once it was applied."""
    fleet = Fleet("a1", "b1")
    fleet.tick({})
    rates = {"a1": (80.0, 20.0), "b1": (5.0, 0.0)}
    assert any(fleet.tick(rates, applying=()) for _ in range(100))
    lowered = fleet.shares()
    assert lowered["dc-a"] == pytest.approx(50.0)
    assert lowered["dc-b"] < 30.0
    for _ in range(20):
        assert not fleet.tick(rates, applying=("a1",))
    assert fleet.shares() == lowered
    assert fleet.tick(rates, applying=("b1",))
    assert fleet.shares()["dc-a"] > 70.0
    assert sum(fleet.shares().values()) == pytest.approx(100.0)


def test_failed_allocator_delays_an_increase_by_its_lease_only():
    """Guards against a share that the others cannot use for as long as its
    allocator is down."""
    fleet = Fleet("a1", "b1")
    fleet.tick({})
    rates = {"a1": (80.0, 20.0), "b1": (5.0, 0.0)}
    assert any(fleet.tick(rates, applying=()) for _ in range(100))
    started_at = fleet.now
    while not fleet.tick(rates, silent=("b1",)):
        assert fleet.now - started_at < 6.0
    assert fleet.now - started_at >= 4.5
    assert fleet.shares()["dc-a"] > 70.0


def test_steady_low_demand_commits_nothing():
    """Guards against needless commits, since each is sent to all VMs."""
    fleet = Fleet("a1", "b1", "c1")
    fleet.tick({})
    assert run(fleet, {}, 200) == 0
    assert run(fleet, {"a1": (3.0, 0.0), "b1": (0.1, 0.0)}, 200) == 0


def test_shares_do_not_oscillate_under_excess_demand():
    """Shares must converge for an account whose demand is several times its
    rate."""
    fleet = Fleet("a1", "b1", "c1")
    rates = {"a1": (300.0, 200.0), "b1": (60.0, 40.0), "c1": (30.0, 20.0)}
    run(fleet, rates)
    assert run(fleet, rates, 200) == 0
    assert fleet.shares()["dc-a"] > 55.0


def test_every_data_centre_keeps_a_minimum_share():
    """Callers that move to an idle data centre must be admitted at once."""
    fleet = Fleet("a1", "b1", "c1")
    run(fleet, {"a1": (300.0, 200.0)})
    for name in ("dc-b", "dc-c"):
        assert fleet.shares()[name] >= 100.0 * 0.2 / 3 - 1e-6
        assert fleet.state.shares[("crew", name)].burst >= 1.0


def test_share_of_a_lost_data_centre_is_released():
    """Otherwise the account would get less than its rate until the data centre
    returns. When it returns it must get a share again."""
    fleet = Fleet("a1", "b1")
    run(fleet, {"a1": (40.0, 0.0), "b1": (40.0, 0.0)})
    fleet.state.vms.pop("b1")
    started_at = fleet.now
    while len(fleet.shares()) > 1 or fleet.shares()["dc-a"] < 99.9:
        fleet.tick({"a1": (80.0, 30.0)}, applying=("a1",), silent=("b1",))
        assert fleet.now - started_at < 10.0
    assert fleet.now - started_at >= 4.5
    accept(fleet.state, SetVm(vm("b1")))
    run(fleet, {"a1": (80.0, 30.0)}, 10)
    assert fleet.shares()["dc-b"] >= 9.9


@pytest.mark.parametrize(
    ("burst", "holders"),
    [
        (0.5, set()),
        (1.0, {"b"}),
        (31.9, {"b"}),
        (32.0, {"b", "c"}),
        (48.0, {"a", "b", "c"}),
        (1000.0, {"a", "b", "c"}),
    ],
)
def test_small_account_is_not_divided(burst, holders):
    """Guards accounts within their limits: a bucket of a few tokens keeps
    fractions that no request can use, and one below a token admits none."""
    shares = divide_account(
        Account("crew", 10.0, burst), {"a": 0.5, "b": 50.0, "c": 1.0}
    )
    assert set(shares) == holders
    if holders:
        total = sum(share.burst for share in shares.values())
        assert total == pytest.approx(burst)
        rate = sum(share.rate_per_s for share in shares.values())
        assert rate == pytest.approx(10.0)
        assert min(share.burst for share in shares.values()) >= 1


def test_small_account_stays_where_it_is():
    """Guards accounts within their limits: while a share moves, its tokens
    are missing."""
    fleet = Fleet("a1", "b1", "c1")
    run(fleet, {})
    accept(fleet.state, PutAccount(Account("crew", 10.0, 2.0)))
    run(fleet, {}, 20)
    bursts = [share.burst for share in fleet.state.shares.values()]
    assert sorted(bursts) == pytest.approx([0.0, 0.0, 2.0])
    for name in ("a1", "b1", "c1"):
        rates = {"a1": (0.1, 0.0), "b1": (0.1, 0.0), "c1": (0.1, 0.0)}
        rates[name] = (9.0, 1.0)
        assert run(fleet, rates, 50) == 0


def test_accounts_without_demand_are_spread():
    """Guards against one data centre whose loss concerns all accounts."""
    weights = dict.fromkeys("abcdefghi", 0.0)
    holders = [
        next(
            iter(divide_account(Account(f"crew-{number}", 5.0, 5.0), weights))
        )
        for number in range(90)
    ]
    assert set(holders) == set(weights)
    assert max(map(holders.count, weights)) <= 20


def test_draining_data_centre_keeps_its_share():
    """Requests in progress at a draining VM still need tokens."""
    fleet = Fleet("a1", "b1")
    fleet.tick({})
    accept(fleet.state, SetVm(vm("b1", state=VmState.DRAINING)))
    assert run(fleet, {}, 40) == 0
    assert fleet.shares()["dc-b"] == pytest.approx(50.0)


@settings(max_examples=100, deadline=None)
@given(st.data())
def test_total_is_kept_for_any_order_of_application(data):
    """Allocators apply changes in any order, some of them late. The shares in
    use must stay within the account, and finally the shares must be close to
    a direct division by demand."""
    names = ("a1", "b1", "c1")
    fleet = Fleet(*names)
    subsets = st.sets(st.sampled_from(names))
    for _ in range(data.draw(st.integers(0, 12))):
        rates = {
            name: (data.draw(st.sampled_from([0.0, 5.0, 50.0, 400.0])), 1.0)
            for name in names
        }
        if data.draw(st.integers(0, 5)) == 0:
            limits = st.sampled_from([5.0, 30.0, 100.0])
            account = Account("crew", data.draw(limits), data.draw(limits))
            accept(fleet.state, PutAccount(account))
            for name in names:
                fleet.apply_shares(name)
        for _ in range(data.draw(st.integers(1, 8))):
            fleet.tick(rates, applying=data.draw(subsets))
    rates = {
        name: (data.draw(st.sampled_from([40.0, 200.0, 800.0])), 40.0)
        for name in names
    }
    # Twenty time constants of the average, so that the earlier demand is below
    # the tolerance.
    for _ in range(200):
        fleet.tick(rates)
    account = fleet.state.accounts["crew"]
    holders = {
        data_centre
        for (_, data_centre), share in fleet.state.shares.items()
        if share.burst >= 1
    }
    expected = divide_account(
        account,
        {f"dc-{name[0]}": rates[name][0] for name in names},
        holders,
    )
    assert set(expected) == holders
    for data_centre, rate in fleet.shares().items():
        wanted = expected.get(data_centre, Share("crew", data_centre))
        difference = abs(rate - wanted.rate_per_s)
        assert difference <= 0.1 * account.rate_per_s + 1e-6
    assert sum(fleet.shares().values()) == pytest.approx(account.rate_per_s)
