"""Validate the steps of shifts and moves."""

import math

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["TOLERANCE", "check_step", "check_step_limits"]

# Absorbs the floating-point rounding of fractions that are sums of caps.
TOLERANCE = 1e-9


def check_step_limits(cap_name, cap, step_name, step_s):
    """Check the cap and the minimum step interval set by an operator.

    Parameters
    ----------
    cap_name, step_name : str
        Names of the fields in error messages.
    cap : float
        Largest fraction of traffic moved in one step.
    step_s : float
        Minimum time between steps in seconds.

    Returns
    -------
    result.Result
        ``Ok(None)`` or ``BAD_REQUEST``.
    """
    if not 0 < cap <= 1:
        return fail(
            ErrorKind.BAD_REQUEST, f"{cap_name} must be above 0 and at most 1"
        )
    if not 0 < step_s < math.inf:
        return fail(
            ErrorKind.BAD_REQUEST, f"{step_name} must be above 0 seconds"
        )
    return Ok(None)


def check_step(record, fraction, cap, step_s, now):
    """Check that a step respects the cap and the minimum step interval.

    Parameters
    ----------
    record : Shift or Move
        Contains the current fraction and the time of the last step.
    fraction : float
        The fraction after the step.
    cap : float
        Largest fraction of traffic moved in one step.
    step_s : float
        Minimum time between steps in seconds.
    now : float
        Unix time in seconds.

    Returns
    -------
    result.Result
        ``Ok(None)``, ``BAD_REQUEST`` or ``CONFLICT``.
    """
    if not 0 <= fraction <= 1:
        return fail(ErrorKind.BAD_REQUEST, "a fraction is from 0 to 1")
    if abs(fraction - record.fraction) > cap + TOLERANCE:
        return fail(
            ErrorKind.CONFLICT,
            f"a step from {record.fraction:g} to {fraction:g} is more than "
            f"the cap of {cap:g}",
        )
    wait_s = record.stepped_at_s + step_s - now
    if wait_s > TOLERANCE:
        return fail(
            ErrorKind.CONFLICT, f"the next step may be made in {wait_s:g} s"
        )
    return Ok(None)
