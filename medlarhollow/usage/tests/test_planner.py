"""Decisions of the holder about windows and their counts."""

import attrs
import pytest

from medlarhollow.messages.records import AcquireUsageHolder
from medlarhollow.messages.records import SettleUsage
from medlarhollow.messages.records import UsageCount
from medlarhollow.messages.records import UsageWindow
from medlarhollow.messages.records import VmReport
from medlarhollow.usage.calls import SendUsage
from medlarhollow.usage.calls import UsageResponse
from medlarhollow.usage.ledger import UsageLedger
from medlarhollow.usage.planner import LeaderView
from medlarhollow.usage.planner import UsagePlanner

from .fakes import FakeTotals
from .fakes import make_settings
from .fakes import make_vm

# A window ends here in fleet time, and a term begins here.
END_S = 5000.0
ENDED = 999


class Leader:
    """A planner that leads and executes its changes at once."""

    def __init__(self, roster=("a1",), heard=("a1",), **usage):
        self.planner = UsagePlanner(make_settings("c1", **usage), "i1")
        self.totals = FakeTotals()
        self.ledger = UsageLedger()
        self.view = LeaderView(
            term=1,
            ledger=self.ledger,
            roster={name: make_vm(name) for name in roster},
            reports=tuple(VmReport(vm=make_vm(name)) for name in heard),
            totals=self.totals,
        )

    def settle(self, window):
        """Settle a window, so that it is the last one."""
        self.plan(END_S - 100)
        body = SettleUsage(UsageWindow(window), self.ledger.token)
        assert self.ledger.execute(body).is_ok()

    def plan(self, now, fleet_now=None):
        """Return the next step that is no acquisition."""
        if fleet_now is None:
            fleet_now = now
        step = self.planner.plan(self.view, now, fleet_now)
        if isinstance(step, AcquireUsageHolder):
            assert self.ledger.execute(step).is_ok()
            step = self.planner.plan(self.view, now, fleet_now)
        return step

    def settlement(self, now, fleet_now=None):
        """Return the window that is settled now, or None."""
        step = self.plan(now, fleet_now)
        return step.window if isinstance(step, SettleUsage) else None

    def complete(self, window, *names, incarnation="i1"):
        for name in names:
            self.totals.complete.add((window, name, incarnation))


def test_another_process_under_the_same_name_is_another_holder():
    """Guards against two VMs with one name that send the same token."""
    leader = Leader()
    leader.settle(ENDED)
    assert leader.ledger.execute(AcquireUsageHolder("c1", "i2")).is_ok()
    step = leader.planner.plan(leader.view, END_S, END_S)
    assert step == AcquireUsageHolder("c1", "i1")


def test_window_is_settled_when_all_counts_are_complete():
    """Guards against a report before the last counts have arrived."""
    leader = Leader(["a1", "a2"], ["a1", "a2"])
    leader.settle(ENDED - 1)
    leader.totals.windows[ENDED] = {"b": 2, "a": 1}
    leader.complete(ENDED, "a1", "a2")
    assert leader.settlement(END_S + 0.9) is None
    assert leader.settlement(END_S + 1.0) == UsageWindow(
        ENDED, (UsageCount("a", 1), UsageCount("b", 2))
    )


def test_silent_vm_is_not_waited_for():
    """Guards against a report that is late because a VM was killed."""
    leader = Leader(["a1", "a2"], ["a1"])
    leader.settle(ENDED - 1)
    leader.complete(ENDED, "a1")
    assert leader.settlement(END_S + 1.0).missing_vms == ("a2",)


def test_late_vm_is_waited_for_until_the_limit():
    """Guards against a missed due time because of one VM."""
    leader = Leader(["a1", "a2"], ["a1", "a2"])
    leader.settle(ENDED - 1)
    leader.complete(ENDED, "a1")
    assert leader.settlement(END_S + 5.9) is None
    assert leader.settlement(END_S + 6.0).missing_vms == ("a2",)


def test_restarted_vm_is_waited_for():
    """Guards against the counts of an earlier process taken for complete."""
    leader = Leader()
    leader.settle(ENDED - 1)
    leader.view = attrs.evolve(
        leader.view, reports=(VmReport(vm=make_vm("a1", "i2")),)
    )
    leader.complete(ENDED, "a1")
    assert leader.settlement(END_S + 1.0) is None
    leader.complete(ENDED, "a1", incarnation="i2")
    assert leader.settlement(END_S + 1.0).missing_vms == ()


def test_new_leader_waits_for_the_whole_roster():
    """Guards against a window settled without counts by a leader that has not
    heard the VMs yet."""
    leader = Leader(["a1", "a2"], [])
    leader.settle(ENDED - 1)
    leader.view = attrs.evolve(leader.view, term=2)
    leader.complete(ENDED, "a1")
    assert leader.settlement(END_S + 1.0) is None
    assert leader.settlement(END_S + 5.9) is None
    leader.complete(ENDED, "a2")
    assert leader.settlement(END_S + 5.9).missing_vms == ()


@pytest.mark.parametrize(
    ("counted", "first"), [((), 1000), ((999, 1000), 999)]
)
def test_first_window_of_a_fleet(counted, first):
    """Guards against windows that are lost because requests were served
    before the first leader was elected."""
    leader = Leader()
    for window in counted:
        leader.totals.windows[window] = {"a": 1}
        leader.complete(window, "a1")
    leader.complete(first, "a1")
    assert leader.settlement(END_S) is None
    assert leader.settlement(END_S + 4.9) is None
    assert leader.settlement(END_S + 6.0).window == first


def test_first_window_waits_for_the_roster():
    """Guards against a first report without VMs that have not joined."""
    leader = Leader([], [])
    assert leader.settlement(END_S - 2) is None
    assert leader.settlement(END_S + 1) is None
    assert leader.settlement(END_S + 3).window == ENDED


def test_windows_without_counts_are_skipped():
    """Guards against wrong reports after a time without a leader that was
    longer than the VMs keep their totals."""
    leader = Leader()
    leader.settle(ENDED - 40)
    settled = leader.settlement(END_S + 0.5)
    assert settled.window == ENDED - 5
    assert (settled.window + 1) * 5.0 > END_S + 0.5 - 30.0


def test_windows_are_those_of_the_fleet_time():
    """Guards against boundaries by the clock of one VM."""
    leader = Leader()
    leader.settle(ENDED - 1)
    leader.complete(ENDED, "a1")
    assert leader.settlement(20_000.0, END_S + 0.9) is None
    assert leader.settlement(20_000.0, END_S + 1.0).window == ENDED


def test_long_due_time_does_not_outlast_the_totals():
    """Guards against a window whose counts the VMs have dropped."""
    leader = Leader(["a1"], ["a1"], due_s=600)
    leader.settle(ENDED - 1)
    assert leader.settlement(END_S + 24.9) is None
    assert leader.settlement(END_S + 25.0).missing_vms == ("a1",)


def test_backlog_keeps_to_the_rate():
    """Guards against calls above the receiver's rate after it was down."""
    leader = Leader(rate_per_s=2)
    leader.settle(ENDED - 2)
    leader.settle(ENDED - 1)
    call = leader.plan(END_S)
    assert isinstance(call, SendUsage)
    leader.planner.record_response(call, UsageResponse.ACCEPTED, END_S)
    assert leader.ledger.execute(leader.plan(END_S)).is_ok()
    assert leader.plan(END_S + 0.4) is None
    assert leader.plan(END_S + 0.5).window.window == ENDED - 1
