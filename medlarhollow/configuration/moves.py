"""Apply changes to the moves of services to new versions."""

import math

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import FinishMove
from ..messages.records import MoveState
from ..messages.records import RollBackMove
from ..messages.records import StartMove
from ..messages.records import StepMove
from .apply import apply
from .names import check_name
from .steps import check_step
from .steps import check_step_limits
from .steps import TOLERANCE

__all__ = ["FIRST_STEP_FRACTION", "count_steps"]

# Fraction of traffic of the first step: a version that fails immediately
# affects at most 1% of the requests.
FIRST_STEP_FRACTION = 0.01
# Defaults for the largest fraction of traffic moved in one step and for the
# minimum time between steps, in seconds.
_DEFAULT_CAP = 0.25
_DEFAULT_STEP_S = 1.0
# Time in seconds during which a repeated order without an identifier is
# recognized as a retry.
_DUPLICATE_WINDOW_S = 10.0
# Moves of a service that are retained for operators to read, counting the
# one that is being started.
_RETAINED_MOVES = 20


def count_steps(fraction, cap):
    """Return the number of steps that a move needs to finish.

    Parameters
    ----------
    fraction : float
        Current fraction of the move.
    cap : float
        Largest fraction of traffic moved in one step.

    Returns
    -------
    int
        Number of steps, including the one that finishes the move.

    Examples
    --------
    >>> count_steps(0.0, 0.25)
    5
    """
    first_steps = 0
    if fraction <= 0:
        first_steps, fraction = 1, min(FIRST_STEP_FRACTION, cap)
    return first_steps + max(1, math.ceil((1 - fraction) / cap - TOLERANCE))


@apply.register
def _start_move(change: StartMove, state, now):
    move = change.move
    if move is None:
        return fail(ErrorKind.BAD_REQUEST, "a move is needed")
    if not move.move_id:
        if _is_duplicate(move, state, now):
            return Ok(None)
        move = _apply_defaults(move, state)
    checked = _check_move(move, state, now)
    if checked.is_err():
        return checked
    _discard_ended_moves(state, move.service)
    state.moves[move.move_id] = attrs.evolve(
        move,
        from_version=state.services[move.service].version,
        started_at_s=now,
        fraction=0.0,
        stepped_at_s=0.0,
        ended_at_s=0.0,
        state=MoveState.IN_PROGRESS,
        reason="",
    )
    return Ok(None)


@apply.register
def _roll_back_move(change: RollBackMove, state, now):
    result = _find_move_in_progress(state, change.move_id)
    if result.is_err():
        return result
    state.moves[change.move_id] = attrs.evolve(
        result.ok_value,
        fraction=0.0,
        stepped_at_s=now,
        ended_at_s=now,
        state=MoveState.ROLLED_BACK,
        reason=change.reason,
    )
    return Ok(None)


@apply.register
def _step_move(change: StepMove, state, now):
    result = _find_move_in_progress(state, change.move_id)
    if result.is_err():
        return result
    move = result.ok_value
    checked = check_step(move, change.fraction, move.cap, move.step_s, now)
    if checked.is_err():
        return checked
    if change.fraction <= 0:
        return fail(
            ErrorKind.BAD_REQUEST, "a move goes back to 0 by a rollback"
        )
    if change.fraction == move.fraction:
        return fail(
            ErrorKind.CONFLICT, f"the move is at {move.fraction:g} already"
        )
    max_first_step = min(FIRST_STEP_FRACTION, move.cap)
    if move.fraction <= 0 and change.fraction > max_first_step + TOLERANCE:
        return fail(
            ErrorKind.CONFLICT, f"the first step is at most {max_first_step:g}"
        )
    if change.fraction > move.fraction and now > move.deadline_s:
        return _fail_past_deadline(move)
    state.moves[change.move_id] = attrs.evolve(
        move, fraction=change.fraction, stepped_at_s=now
    )
    return Ok(None)


@apply.register
def _finish_move(change: FinishMove, state, now):
    result = _find_move_in_progress(state, change.move_id)
    if result.is_err():
        return result
    move = result.ok_value
    if move.fraction <= 0:
        return fail(
            ErrorKind.CONFLICT, "a move is not finished in its first step"
        )
    # Finishing is the last step and is subject to the same limits.
    checked = check_step(move, 1.0, move.cap, move.step_s, now)
    if checked.is_err():
        return checked
    if now > move.deadline_s:
        return _fail_past_deadline(move)
    state.moves[change.move_id] = attrs.evolve(
        move,
        fraction=1.0,
        stepped_at_s=now,
        ended_at_s=now,
        state=MoveState.FINISHED,
    )
    state.services[move.service] = attrs.evolve(
        state.services[move.service], version=move.to_version
    )
    return Ok(None)


def _is_duplicate(move, state, now):
    """Return whether an order without an identifier was accepted before."""
    return any(
        (existing.service, existing.to_version)
        == (move.service, move.to_version)
        and now - existing.started_at_s < _DUPLICATE_WINDOW_S
        for existing in state.moves.values()
    )


def _apply_defaults(move, state):
    """Return the move with defaults for the fields left unset."""
    return attrs.evolve(
        move,
        move_id=f"{move.service}-{state.revision + 1}",
        cap=move.cap or _DEFAULT_CAP,
        step_s=move.step_s or _DEFAULT_STEP_S,
    )


def _fail_past_deadline(move):
    return fail(
        ErrorKind.CONFLICT,
        f"the deadline of move '{move.move_id}' has passed; it can only be "
        "rolled back",
    )


def _find_move_in_progress(state, move_id):
    move = state.moves.get(move_id)
    if move is None:
        return fail(ErrorKind.NOT_FOUND, f"no move '{move_id}'")
    if move.state is not MoveState.IN_PROGRESS:
        return fail(
            ErrorKind.CONFLICT,
            f"move '{move_id}' has ended: {move.state.name.lower()}",
        )
    return Ok(move)


def _check_move(move, state, now):
    for kind, name in (
        ("move", move.move_id),
        ("version", move.to_version),
    ):
        checked = check_name(kind, name)
        if checked.is_err():
            return checked
    service = state.services.get(move.service)
    if service is None:
        return fail(ErrorKind.NOT_FOUND, f"no service '{move.service}'")
    if move.move_id in state.moves:
        return fail(ErrorKind.CONFLICT, f"move '{move.move_id}' exists")
    if move.from_version not in ("", service.version):
        return fail(
            ErrorKind.CONFLICT,
            f"'{move.service}' is at version '{service.version}', "
            f"not '{move.from_version}'",
        )
    if move.to_version == service.version:
        return fail(
            ErrorKind.CONFLICT,
            f"'{move.service}' is at version '{service.version}' already",
        )
    for other in state.moves.values():
        if (
            other.service == move.service
            and other.state is MoveState.IN_PROGRESS
        ):
            return fail(
                ErrorKind.CONFLICT,
                f"move '{other.move_id}' of '{move.service}' is in progress",
            )
    checked_limits = check_step_limits("cap", move.cap, "step_s", move.step_s)
    if checked_limits.is_err():
        return checked_limits
    return _check_deadline(move, now)


def _check_deadline(move, now):
    if not now < move.deadline_s < math.inf:
        return fail(ErrorKind.BAD_REQUEST, "deadline_s must be in the future")
    steps = count_steps(0.0, move.cap)
    required_s = (steps - 1) * move.step_s
    if now + required_s > move.deadline_s:
        return fail(
            ErrorKind.BAD_REQUEST,
            f"the deadline is {move.deadline_s - now:g} s away; {steps} "
            f"steps of at most {move.cap:g} need at least {required_s:g} s",
        )
    return Ok(None)


def _discard_ended_moves(state, service):
    ended = sorted(
        (
            move
            for move in state.moves.values()
            if move.service == service
            and move.state is not MoveState.IN_PROGRESS
        ),
        key=lambda move: (move.ended_at_s, move.move_id),
    )
    for move in ended[: max(0, len(ended) - _RETAINED_MOVES + 1)]:
        del state.moves[move.move_id]
