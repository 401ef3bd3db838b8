"""Test the rules for moves to new versions."""

import pytest

from medlarhollow.configuration.moves import count_steps
from medlarhollow.messages.records import DeleteService
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import FinishMove
from medlarhollow.messages.records import MoveState
from medlarhollow.messages.records import PutService
from medlarhollow.messages.records import RollBackMove
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import StartMove
from medlarhollow.messages.records import StepMove

from .samples import assert_accepted
from .samples import assert_rejected
from .samples import HASH
from .samples import make_state
from .samples import move
from .samples import NOW
from .samples import start_move


@pytest.mark.parametrize(
    ("record", "kind", "expected_detail"),
    [
        (None, ErrorKind.BAD_REQUEST, "a move is needed"),
        (move(move_id="no good"), ErrorKind.BAD_REQUEST, "move name"),
        (move(to_version=""), ErrorKind.BAD_REQUEST, "version name"),
        (move(service="none"), ErrorKind.NOT_FOUND, "no service 'none'"),
        (move(to_version="1"), ErrorKind.CONFLICT, "already"),
        (move(from_version="0"), ErrorKind.CONFLICT, "not '0'"),
        (move(cap=0.0), ErrorKind.BAD_REQUEST, "cap must"),
        (move(cap=1.01), ErrorKind.BAD_REQUEST, "cap must"),
        (move(cap=float("nan")), ErrorKind.BAD_REQUEST, "cap must"),
        (move(step_s=0.0), ErrorKind.BAD_REQUEST, "step_s must"),
        (move(step_s=float("inf")), ErrorKind.BAD_REQUEST, "step_s must"),
        (move(deadline_s=NOW), ErrorKind.BAD_REQUEST, "in the future"),
        (move(deadline_s=NOW + 39), ErrorKind.BAD_REQUEST, "need at least"),
    ],
)
def test_an_invalid_move_is_rejected(record, kind, expected_detail):
    """Guards against moves that can't meet their limits or deadline."""
    assert_rejected(make_state(), StartMove(record), kind, expected_detail)


def test_only_one_move_of_a_service_is_in_progress():
    """Together, two moves of one service could exceed the cap of either."""
    state = make_state()
    start_move(state)
    second = StartMove(move(move_id="m2", to_version="3"))
    assert_rejected(
        state, second, ErrorKind.CONFLICT, "'m1' of 'plots' is in progress"
    )
    start_move(state, move_id="m3", service="survey")
    assert_accepted(state, RollBackMove("m1", "operator"))
    assert_accepted(state, second)


def test_a_started_move_ignores_the_progress_in_the_order():
    """A fraction given by the operator would skip the first step."""
    state = make_state()
    record = start_move(state, fraction=0.9, state=MoveState.FINISHED)
    assert record.fraction == 0.0
    assert record.state is MoveState.IN_PROGRESS
    assert record.from_version == "1"


@pytest.mark.parametrize(
    ("fraction", "now", "kind", "expected_detail"),
    [
        (0.011, NOW, ErrorKind.CONFLICT, "first step is at most 0.01"),
        (0.0, NOW, ErrorKind.BAD_REQUEST, "by a rollback"),
        (float("nan"), NOW, ErrorKind.BAD_REQUEST, "from 0 to 1"),
        (0.01, NOW + 101, ErrorKind.CONFLICT, "deadline"),
    ],
)
def test_an_invalid_first_step_is_rejected(
    fraction, now, kind, expected_detail
):
    """A faulty version must receive at most 1% of traffic at first."""
    state = make_state()
    start_move(state)
    assert_rejected(
        state, StepMove("m1", fraction), kind, expected_detail, now
    )


def test_a_first_step_respects_a_cap_below_one_percent():
    """A cap below 1% also applies to the first step."""
    state = make_state()
    start_move(state, cap=0.005, deadline_s=NOW + 10000)
    step = StepMove("m1", 0.006)
    assert_rejected(state, step, ErrorKind.CONFLICT, "more than the cap")
    assert_accepted(state, StepMove("m1", 0.005))


@pytest.mark.parametrize(
    ("fraction", "wait_s", "expected_detail"),
    [
        (0.27, 10.0, "more than the cap of 0.25"),
        (0.2, 9.9, "may be made in 0.1"),
        (0.01, 10.0, "already"),
    ],
)
def test_a_later_step_respects_cap_and_step_interval(
    fraction, wait_s, expected_detail
):
    """Guards the invariant that no step of a move exceeds its cap."""
    state = make_state()
    start_move(state)
    assert_accepted(state, StepMove("m1", 0.01))
    step = StepMove("m1", fraction)
    assert_rejected(
        state, step, ErrorKind.CONFLICT, expected_detail, NOW + wait_s
    )


def test_a_finished_move_sets_the_version():
    """Finishing is also a step and must respect cap and step interval."""
    state = make_state()
    start_move(state)
    finish = FinishMove("m1")
    assert_rejected(state, finish, ErrorKind.CONFLICT, "first step")
    now = NOW
    for fraction in (0.01, 0.26, 0.51):
        assert_accepted(state, StepMove("m1", fraction), now)
        now += 10
    assert_rejected(
        state, finish, ErrorKind.CONFLICT, "more than the cap", now
    )
    assert_accepted(state, StepMove("m1", 0.76), now)
    assert_rejected(state, finish, ErrorKind.CONFLICT, "may be made", now + 9)
    assert_accepted(state, finish, now + 10)
    assert state.services["plots"].version == "2"
    assert state.moves["m1"].state is MoveState.FINISHED
    roll_back = RollBackMove("m1", "late")
    assert_rejected(
        state, roll_back, ErrorKind.CONFLICT, "has ended: finished"
    )


def test_after_the_deadline_a_move_can_only_be_rolled_back():
    """A late finish would follow the rollback by partitioned VMs."""
    state = make_state()
    start_move(state, cap=1.0, deadline_s=NOW + 20)
    assert_accepted(state, StepMove("m1", 0.01))
    finish = FinishMove("m1")
    assert_rejected(state, finish, ErrorKind.CONFLICT, "deadline", NOW + 21)
    assert_accepted(state, RollBackMove("m1", "late"), NOW + 21)
    assert state.moves["m1"].state is MoveState.ROLLED_BACK
    assert state.moves["m1"].fraction == 0.0
    assert state.services["plots"].version == "1"


def test_a_version_changes_only_by_a_move():
    """Putting a new version directly would move all traffic at once."""
    state = make_state()
    put = PutService(Service("plots", HASH, "2"))
    assert_rejected(state, put, ErrorKind.CONFLICT, "by a move")
    start_move(state)
    delete = DeleteService("plots")
    assert_rejected(state, delete, ErrorKind.CONFLICT, "'m1' of 'plots'")
    assert_accepted(state, RollBackMove("m1", "operator"))
    assert_accepted(state, delete)
    assert not state.moves


def test_number_of_retained_moves_is_bounded():
    """Snapshots must not grow with the number of past moves."""
    state = make_state()
    for number in range(50):
        start_move(state, move_id=f"m{number}")
        assert_accepted(state, RollBackMove(f"m{number}", "operator"))
    assert len(state.moves) == 20
    assert "m49" in state.moves


@pytest.mark.parametrize(
    ("fraction", "cap", "steps"),
    [(0.0, 1.0, 2), (0.0, 0.25, 5), (0.01, 0.33, 3), (0.76, 0.25, 1)],
)
def test_count_of_steps_includes_the_finishing_step(fraction, cap, steps):
    """A count that is too low would accept deadlines that can't be met."""
    assert count_steps(fraction, cap) == steps
