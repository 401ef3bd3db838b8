"""Leader task that shifts traffic to the active preset."""

from ..messages.records import StepShift

__all__ = ["plan_shift"]


def plan_shift(state, now):
    """Plan the next step of the shift to the active preset.

    Parameters
    ----------
    state : FleetState
        Provides the presets and the shift.
    now : float
        Unix time in seconds.

    Returns
    -------
    StepShift or None
        None if the shift is complete or the time of its step has not passed.
    """
    shift = state.shift
    if shift is None or shift.fraction >= 1:
        return None
    preset = state.presets[shift.preset]
    if now < shift.stepped_at_s + preset.shift_step_s:
        return None
    return StepShift(min(1.0, shift.fraction + preset.shift_cap))
