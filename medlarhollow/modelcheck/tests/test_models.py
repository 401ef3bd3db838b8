"""Short explorations of the models."""

import pytest

from medlarhollow.modelcheck import explore
from medlarhollow.modelcheck import explore_first_start
from medlarhollow.modelcheck import explore_late_orders
from medlarhollow.modelcheck.late_orders import Guards
from medlarhollow.modelcheck.order_kinds import ORDER_KINDS

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
