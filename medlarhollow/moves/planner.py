"""Next change of a version move."""

import math

from ..configuration.moves import count_steps
from ..configuration.moves import FIRST_STEP
from ..configuration.steps import TOLERANCE
from ..messages.records import FinishMove
from ..messages.records import RollBackMove
from ..messages.records import StepMove

__all__ = ["EXCESSES", "choose_excess", "plan_move"]

# Time kept free before the deadline: a leader change takes about 1 s, and a
# change reaches all VMs within 4 s at the most.
_MARGIN_S = 2.0
# Part of traffic that the old version keeps until the end, so that there is
# something to compare the new version with.
_HOLDBACK = 0.05

# Rates of bad answers above that of the old version that are ruled out before
# a step: with time to spare (17 good answers), without it (8), and without it
# after the first step (4).
_PATIENT = 0.25
_HURRIED = 0.5
_HURRIED_FIRST = 0.75
EXCESSES = (_PATIENT, _HURRIED, _HURRIED_FIRST)


def choose_excess(move, now):
    """Return how bad a version must be ruled out before the next step.

    Parameters
    ----------
    move : Move
        The move.
    now : float
        Unix time in seconds.

    Returns
    -------
    float
        One of `EXCESSES`. At most a third of the time that a move can spare
        is spent in waiting for more answers at one step.
    """
    steps = count_steps(move.fraction, move.cap)
    spare_s = move.deadline_s - _MARGIN_S - now - steps * move.step_s
    if now - move.stepped_at_s - move.step_s < spare_s / 2:
        return _PATIENT
    return _HURRIED_FIRST if move.fraction <= FIRST_STEP else _HURRIED


def plan_move(move, finding, proven, now):
    """Return the next change of a move in progress.

    Parameters
    ----------
    move : Move
        The move.
    finding : str
        What is wrong with the new version; empty if nothing is known.
    proven : bool
        Whether enough good answers were measured since the last step.
    now : float
        Unix time in seconds.

    Returns
    -------
    StepMove, RollBackMove, FinishMove or None
        None if there is nothing to do yet.

    Notes
    -----
    The decision depends on the replicated move and fresh measurements only,
    so a new leader continues where the old one stopped. A bad version is
    rolled back at once. A version of which too little is known goes back in
    steps that keep the cap, begun early enough to end before the deadline;
    only if there is no time for them is it rolled back at once.
    """
    if finding:
        return RollBackMove(move.move_id, finding)
    left_s = move.deadline_s - _MARGIN_S - now
    wait_s = max(0.0, move.stepped_at_s + move.step_s - now)
    steps = count_steps(move.fraction, move.cap)
    if wait_s + (steps - 1) * move.step_s > left_s + TOLERANCE:
        return _retreat(move, wait_s, left_s, "no time left to finish")
    if wait_s > TOLERANCE:
        return None
    if proven or move.fraction <= 0:
        return _advance(move, left_s)
    steps_back = math.ceil(move.fraction / move.cap - TOLERANCE)
    if steps_back * move.step_s > left_s:
        return _retreat(move, wait_s, left_s, "too few measurements")
    return None


def _advance(move, left_s):
    if move.fraction <= 0:
        return StepMove(move.move_id, min(FIRST_STEP, move.cap))
    most = 1 - min(move.cap, _HOLDBACK)
    last = 1 - move.fraction <= move.cap + TOLERANCE
    if last and (move.fraction >= most - TOLERANCE or move.step_s > left_s):
        return FinishMove(move.move_id)
    return StepMove(move.move_id, min(move.fraction + move.cap, most))


def _retreat(move, wait_s, left_s, reason):
    steps_back = math.ceil(move.fraction / move.cap - TOLERANCE)
    needed_s = wait_s + (steps_back - 1) * move.step_s
    if steps_back < 1 or needed_s > left_s:
        return RollBackMove(move.move_id, reason)
    if wait_s > TOLERANCE:
        return None
    if steps_back == 1:
        return RollBackMove(move.move_id, reason)
    return StepMove(move.move_id, move.fraction - move.cap)
