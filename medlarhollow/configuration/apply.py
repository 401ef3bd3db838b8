"""Apply a change to the state of the fleet.

One `singledispatch` function, registered for each kind of change in the
modules of this package. A rejected change leaves the state as it was.
"""

import functools

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["apply"]


@functools.singledispatch
def apply(change, state, now):
    """Apply the body of a change.

    Parameters
    ----------
    change : object
        Body of a `Change` record.
    state : FleetState
        Altered in place if the change is accepted.
    now : float
        Unix time of the change in seconds, by the leader's clock.

    Returns
    -------
    result.Result
        ``Ok(None)`` or the failure that says why the change is rejected.
    """
    name = type(change).__name__
    return fail(ErrorKind.BAD_REQUEST, f"no change of the kind {name}")
