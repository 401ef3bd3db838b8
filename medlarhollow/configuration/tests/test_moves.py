"""Rules of moves to new versions."""

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
    ("record", "kind", "words"),
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
def test_a_faulty_move_is_not_started(record, kind, words):
    """Guards against moves that cannot keep their rules or deadline."""
    assert_rejected(make_state(), StartMove(record), kind, words)


def test_only_one_move_of_a_service_is_in_progress():
    """Two moves of one service would add up to more than either cap."""
    state = make_state()
    start_move(state)
    second = StartMove(move(move_id="m2", to_version="3"))
    assert_rejected(
        state, second, ErrorKind.CONFLICT, "'m1' of 'plots' is in progress"
    )
    start_move(state, move_id="m3", service="survey")
    assert_accepted(state, RollBackMove("m1", "operator"))
    assert_accepted(state, second)


def test_a_move_starts_at_nothing_whatever_the_operator_sends():
    """A fraction in the operator's record would skip the first step."""
    state = make_state()
    record = start_move(state, fraction=0.9, state=MoveState.FINISHED)
    assert record.fraction == 0.0
    assert record.state is MoveState.IN_PROGRESS
    assert record.from_version == "1"


@pytest.mark.parametrize(
    ("fraction", "now", "kind", "words"),
    [
        (0.011, NOW, ErrorKind.CONFLICT, "first step is at most 0.01"),
        (0.0, NOW, ErrorKind.BAD_REQUEST, "by a rollback"),
        (float("nan"), NOW, ErrorKind.BAD_REQUEST, "from 0 to 1"),
        (0.01, NOW + 101, ErrorKind.CONFLICT, "deadline"),
    ],
)
def test_a_first_step_keeps_the_rules(fraction, now, kind, words):
    """A bad version must meet at most 1% of traffic at first."""
    state = make_state()
    start_move(state)
    assert_rejected(state, StepMove("m1", fraction), kind, words, now)


def test_a_first_step_is_no_larger_than_a_small_cap():
    """A cap below 1% holds for the first step too."""
    state = make_state()
    start_move(state, cap=0.005, deadline_s=NOW + 10000)
    step = StepMove("m1", 0.006)
    assert_rejected(state, step, ErrorKind.CONFLICT, "more than the cap")
    assert_accepted(state, StepMove("m1", 0.005))


@pytest.mark.parametrize(
    ("fraction", "wait_s", "words"),
    [
        (0.27, 10.0, "more than the cap of 0.25"),
        (0.2, 9.9, "may be made in 0.1"),
        (0.01, 10.0, "already"),
    ],
)
def test_a_later_step_keeps_cap_and_step_time(fraction, wait_s, words):
    """Guards the invariant that a move stays under its cap."""
    state = make_state()
    start_move(state)
    assert_accepted(state, StepMove("m1", 0.01))
    step = StepMove("m1", fraction)
    assert_rejected(state, step, ErrorKind.CONFLICT, words, NOW + wait_s)


def test_a_finished_move_sets_the_version():
    """Finishing is a step too and must keep cap and step time."""
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
    back = RollBackMove("m1", "late")
    assert_rejected(state, back, ErrorKind.CONFLICT, "has ended: finished")


def test_after_the_deadline_a_move_is_only_rolled_back():
    """A late finish would come after VMs that are cut off rolled back."""
    state = make_state()
    start_move(state, cap=1.0, deadline_s=NOW + 20)
    assert_accepted(state, StepMove("m1", 0.01))
    finish = FinishMove("m1")
    assert_rejected(state, finish, ErrorKind.CONFLICT, "deadline", NOW + 21)
    assert_accepted(state, RollBackMove("m1", "late"), NOW + 21)
    assert state.moves["m1"].state is MoveState.ROLLED_BACK
    assert state.moves["m1"].fraction == 0.0
    assert state.services["plots"].version == "1"


def test_a_version_changes_by_a_move_only():
    """A new version put into the service would take all traffic at once."""
    state = make_state()
    put = PutService(Service("plots", HASH, "2"))
    assert_rejected(state, put, ErrorKind.CONFLICT, "by a move")
    start_move(state)
    delete = DeleteService("plots")
    assert_rejected(state, delete, ErrorKind.CONFLICT, "'m1' of 'plots'")
    assert_accepted(state, RollBackMove("m1", "operator"))
    assert_accepted(state, delete)
    assert not state.moves


def test_ended_moves_do_not_pile_up():
    """The snapshot must not grow with every move ever made."""
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
def test_steps_are_counted_with_the_finishing_one(fraction, cap, steps):
    """A count that is too small would accept deadlines that cannot hold."""
    assert count_steps(fraction, cap) == steps
