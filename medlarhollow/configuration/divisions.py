"""Apply changes to the division of objects between regions of servers."""

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import MoveState
from ..messages.records import SetDivision
from .apply import apply
from .division_steps import DIVISION_STEPS
from .division_steps import initial_steps
from .division_steps import rescale_steps

__all__ = ["division_key", "effective_steps", "list_versions_in_use"]


def division_key(division):
    """Return caller region, service and version of a division."""
    return (division.caller_region, division.service, division.version)


def effective_steps(division, caller_region, slots):
    """Return the steps of a division for the present slots.

    VMs with the same division and slots get the same steps, whatever they
    used before.

    Parameters
    ----------
    division : Division or None
        The committed division; None for the initial one.
    caller_region : str
        Region of the callers.
    slots : dict of str to int
        Present slots by region of servers.

    Returns
    -------
    dict of str to int
        Steps by region; empty if there are no slots.
    """
    if division is None:
        return initial_steps(caller_region, slots)
    steps = {record.region: record.steps for record in division.steps}
    previous = {record.region: record.slots for record in division.steps}
    if any(previous[region] != slots.get(region, 0) for region in previous):
        steps = rescale_steps(steps, previous, slots)
    return steps or initial_steps(caller_region, slots)


def list_versions_in_use(state):
    """Return the set of (service, version) that may get requests.

    Parameters
    ----------
    state : FleetState
        Provides the services and their moves.
    """
    moves = [
        move
        for move in state.moves.values()
        if move.state is MoveState.IN_PROGRESS
    ]
    return {
        *(
            (service.name, service.version)
            for service in state.services.values()
        ),
        *((move.service, move.from_version) for move in moves),
        *((move.service, move.to_version) for move in moves),
    }


@apply.register
def _set_division(change: SetDivision, state, now):
    division = change.division
    if division is None:
        return fail(ErrorKind.BAD_REQUEST, "a division is needed")
    key = division_key(division)
    if not division.steps:
        state.divisions.pop(key, None)
        return Ok(None)
    if not all(key):
        return fail(
            ErrorKind.BAD_REQUEST,
            "a division needs a caller region, a service and a version",
        )
    if division.service not in state.services:
        return fail(ErrorKind.NOT_FOUND, f"no service '{division.service}'")
    regions = {record.region for record in division.steps}
    if len(regions) < len(division.steps) or "" in regions:
        return fail(ErrorKind.BAD_REQUEST, "a division needs each region once")
    if sum(record.steps for record in division.steps) != DIVISION_STEPS:
        return fail(
            ErrorKind.BAD_REQUEST, f"a division has {DIVISION_STEPS} steps"
        )
    state.divisions[key] = division
    return Ok(None)
