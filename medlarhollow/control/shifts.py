"""Duty of the leader: bring the traffic to the active preset."""

from ..messages.records import StepShift

__all__ = ["plan_shift"]


def plan_shift(state, now):
    """Return the next step to the active preset.

    Parameters
    ----------
    state : FleetState
        Holds the presets and the shift.
    now : float
        Unix time in seconds.

    Returns
    -------
    StepShift or None
        None if the shift is complete or its step time has not passed.
    """
    shift = state.shift
    if shift is None or shift.fraction >= 1:
        return None
    preset = state.presets[shift.preset]
    if now < shift.stepped_at_s + preset.shift_step_s:
        return None
    return StepShift(min(1.0, shift.fraction + preset.shift_cap))
