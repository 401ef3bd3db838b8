"""Short explorations of the models."""

import attrs
import pytest

from medlarhollow.modelcheck import explore
from medlarhollow.modelcheck import explore_first_start
from medlarhollow.modelcheck import explore_late_orders
from medlarhollow.modelcheck import explore_replacements
from medlarhollow.modelcheck import explore_usage_reports
from medlarhollow.modelcheck.late_orders import Guards
from medlarhollow.modelcheck.order_kinds import ORDER_KINDS
from medlarhollow.usage.calls import SendUsage
from medlarhollow.usage.ledger import UsageLedger
from medlarhollow.usage.planner import UsagePlanner

STATES = 20_000
MOVE = "move that is rolled back"


def test_search_finds_the_trace_to_a_violation():
    result = explore(
        0,
        lambda state: [("one", state + 1), ("two", state + 2)][: 7 - state],
        lambda state: "five" if state == 5 else "",
        limit_states=100,
    )
    assert result.violation == "five"
    steps = {"one": 1, "two": 2}
    assert sum(steps[name] for name in result.trace) == 5


def test_search_ends_at_the_limit():
    result = explore(
        0, lambda state: [("", state + 1)], lambda state: "", limit_states=9
    )
    assert (result.states, result.is_complete) == (9, False)


@pytest.mark.parametrize("kind", ORDER_KINDS)
def test_unprotected_late_order_is_found(kind):
    """Shows that the model finds the fault that the protections prevent."""
    guards = Guards(False, False, False, False, False, False)
    result = explore_late_orders(kind, guards, faults=1, limit_states=STATES)
    assert result.violation


@pytest.mark.parametrize("guard", ["binds", "sees_close", "settles"])
def test_each_protection_is_needed_for_a_cut(guard):
    guards = Guards(**{guard: False})
    result = explore_late_orders(MOVE, guards, faults=1, limit_states=STATES)
    assert result.violation


IDENTIFIED = [
    name for name, kind in ORDER_KINDS.items() if kind.has_identifiers
]


@pytest.mark.parametrize("kind", IDENTIFIED)
def test_identifiers_of_orders_are_enough(kind):
    """Shows which protection the orders of the administration API have."""
    guards = Guards(False, False, False, False, False, True)
    result = explore_late_orders(kind, guards, faults=1, limit_states=STATES)
    assert not result.violation


@pytest.mark.parametrize("guard", ["sees_suspension", "limits_age"])
def test_each_protection_is_needed_for_two_faults(guard):
    guards = Guards(**{guard: False})
    result = explore_late_orders(MOVE, guards, faults=2, limit_states=60_000)
    assert result.violation


def test_no_late_order_is_executed():
    result = explore_late_orders(MOVE, faults=1)
    assert result.is_complete
    assert not result.violation


@pytest.mark.parametrize("kind", ORDER_KINDS)
def test_no_late_order_is_executed_in_a_part_of_the_states(kind):
    result = explore_late_orders(kind, faults=2, limit_states=STATES)
    assert not result.violation


def test_first_start_forms_one_cluster():
    result = explore_first_start(
        seeds=3, losses=0, restarts=0, disk_losses=1, limit_states=STATES
    )
    assert not result.violation


def test_seeds_that_vote_without_their_disk_form_two_clusters():
    """Shows that the model finds the fault that the vote prevents."""
    result = explore_first_start(
        seeds=3,
        losses=0,
        restarts=0,
        disk_losses=1,
        keeps_vote=False,
        limit_states=200_000,
    )
    assert result.violation


TWO_AT_A_TIME = {"tolerance": 2, "catch_up_s": 6, "outages": 0}


@pytest.mark.parametrize(
    "sizes",
    [
        {"size": 3, "replacements": 3, "outages": 1},
        {"size": 4, "replacements": 2, "outages": 1},
        {"size": 5, "replacements": 3, **TWO_AT_A_TIME},
    ],
)
def test_replacements_leave_a_quorum(sizes):
    result = explore_replacements(**sizes)
    assert result.is_complete
    assert not result.violation


@pytest.mark.parametrize(
    "sizes", [{"size": 3}, {"size": 6, "replacements": 4, **TWO_AT_A_TIME}]
)
def test_votes_of_replaced_replicas_end_the_quorum(sizes):
    """Shows that the model finds the fault that the succession prevents."""
    result = explore_replacements(**sizes, removes_replaced=False)
    assert result.violation == "no quorum runs"


@pytest.mark.parametrize(
    "faults",
    [
        {"elections": 2, "waits": 1, "losses": 1},
        {"elections": 2, "waits": 1, "losses": 0, "restarts": 1},
        {"elections": 3, "waits": 1, "losses": 0},
    ],
)
def test_holders_of_usage_reports_agree(faults):
    result = explore_usage_reports(**faults)
    assert result.is_complete
    assert not result.violation


def test_holders_that_do_not_wait_act_by_turns():
    """Shows that the model finds the fault that the lease prevents."""
    result = explore_usage_reports(
        elections=3, waits=2, losses=0, lease_s=0.0, wait_s=1.0
    )
    assert result.violation == "A, B, A within the lease"


class UnsettledPlanner(UsagePlanner):
    """Sends counts without settling them first."""

    def _plan_settlement(self, view, now, fleet_now):
        settlement = super()._plan_settlement(view, now, fleet_now)
        if settlement is None or now < self._call_at:
            return None
        return SendUsage("c", view.ledger.token, settlement.window)


def test_counts_that_are_not_settled_differ():
    """Shows that the model finds the fault that the settlement prevents."""
    result = explore_usage_reports(
        elections=2, waits=1, losses=0, make_planner=UnsettledPlanner
    )
    assert result.violation == "two counts of one window"


class SharedTokenLedger(UsageLedger):
    """Gives the token of the previous holder to the next one."""

    def execute(self, body):
        token = self.token
        result = super().execute(body)
        if token and self.token > token:
            self._holder = attrs.evolve(self._holder, token=token)
        return result


class TrustingPlanner(UsagePlanner):
    """Acts under any token of the committed holder."""

    def _holds(self, holder):
        return self._is_self(holder)


def test_shared_token_is_found():
    """Shows that the model finds the fault that new tokens prevent."""
    result = explore_usage_reports(
        elections=2,
        waits=1,
        losses=0,
        make_ledger=SharedTokenLedger,
        make_planner=TrustingPlanner,
    )
    assert result.violation == "one token from two processes"
