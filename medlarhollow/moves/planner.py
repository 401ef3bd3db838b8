"""Planning of the next change of a version move."""

import math

from ..configuration.moves import count_steps
from ..configuration.moves import FIRST_STEP_FRACTION
from ..configuration.steps import TOLERANCE
from ..messages.records import FinishMove
from ..messages.records import RollBackMove
from ..messages.records import StepMove

__all__ = ["EXCESSES", "choose_excess", "plan_move"]

# Safety margin before the deadline: a leader change takes about 1 s, and a
# change reaches all VMs within at most 4 s.
_DEADLINE_MARGIN_S = 2.0
# Fraction of traffic that the old version keeps until the end as a control
# group for the comparison.
_HOLDBACK_FRACTION = 0.05

# Excesses over the old version's rate of bad outcomes that are ruled out
# before a step: with time to spare (17 good outcomes), without it (8), and
# without it after the first step (4).
_PATIENT_EXCESS = 0.25
_HURRIED_EXCESS = 0.5
_FIRST_STEP_EXCESS = 0.75
EXCESSES = (_PATIENT_EXCESS, _HURRIED_EXCESS, _FIRST_STEP_EXCESS)


def choose_excess(move, now):
    """Return the excess to be ruled out before the next step.

    Parameters
    ----------
    move : Move
        The move.
    now : float
        Unix time in seconds.

    Returns
    -------
    float
        One of `EXCESSES`. At most a third of the slack of a move is spent
        waiting for more outcomes at one step.
    """
    steps = count_steps(move.fraction, move.cap)
    slack_s = move.deadline_s - _DEADLINE_MARGIN_S - now - steps * move.step_s
    if now - move.stepped_at_s - move.step_s < slack_s / 2:
        return _PATIENT_EXCESS
    return (
        _FIRST_STEP_EXCESS
        if move.fraction <= FIRST_STEP_FRACTION
        else _HURRIED_EXCESS
    )


def plan_move(move, finding, has_evidence, now):
    """Return the next change of a move in progress.

    Parameters
    ----------
    move : Move
        The move.
    finding : str
        Regression of the new version; empty if none was found.
    has_evidence : bool
        Whether enough good outcomes were measured since the last step.
    now : float
        Unix time in seconds.

    Returns
    -------
    StepMove, RollBackMove, FinishMove or None
        None if no change is due.

    Notes
    -----
    The decision depends only on the replicated move and recent measurements,
    so a new leader continues where the old one stopped. A version with a
    regression is rolled back immediately. A version without enough evidence
    is moved back in steps that respect the cap, started early enough to end
    before the deadline; if there is no time for them, it is rolled back
    immediately.
    """
    if finding:
        return RollBackMove(move.move_id, finding)
    remaining_s = move.deadline_s - _DEADLINE_MARGIN_S - now
    wait_s = max(0.0, move.stepped_at_s + move.step_s - now)
    steps = count_steps(move.fraction, move.cap)
    if wait_s + (steps - 1) * move.step_s > remaining_s + TOLERANCE:
        return _step_back(move, wait_s, remaining_s, "no time left to finish")
    if wait_s > TOLERANCE:
        return None
    if has_evidence or move.fraction <= 0:
        return _advance(move, remaining_s)
    steps_back = math.ceil(move.fraction / move.cap - TOLERANCE)
    if steps_back * move.step_s > remaining_s:
        return _step_back(move, wait_s, remaining_s, "too few measurements")
    return None


def _advance(move, remaining_s):
    if move.fraction <= 0:
        return StepMove(move.move_id, min(FIRST_STEP_FRACTION, move.cap))
    max_fraction = 1 - min(move.cap, _HOLDBACK_FRACTION)
    is_last_step = 1 - move.fraction <= move.cap + TOLERANCE
    if is_last_step and (
        move.fraction >= max_fraction - TOLERANCE or move.step_s > remaining_s
    ):
        return FinishMove(move.move_id)
    return StepMove(move.move_id, min(move.fraction + move.cap, max_fraction))


def _step_back(move, wait_s, remaining_s, reason):
    steps_back = math.ceil(move.fraction / move.cap - TOLERANCE)
    needed_s = wait_s + (steps_back - 1) * move.step_s
    if steps_back < 1 or needed_s > remaining_s:
        return RollBackMove(move.move_id, reason)
    if wait_s > TOLERANCE:
        return None
    if steps_back == 1:
        return RollBackMove(move.move_id, reason)
    return StepMove(move.move_id, move.fraction - move.cap)
