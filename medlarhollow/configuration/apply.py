"""Apply changes to the fleet state.

`apply` is a `singledispatch` function; the modules of this package register
an implementation for each kind of change. A rejected change leaves the state
unmodified.
"""

import functools

from ..errors import fail
from ..messages.records import ErrorKind

__all__ = ["apply"]


@functools.singledispatch
def apply(change, state, now):
    """Apply the body of a change to the fleet state.

    Parameters
    ----------
    change : object
        Body of a `Change` record.
    state : FleetState
        Modified in place if the change is accepted.
    now : float
        Unix time of the change in seconds, read from the leader's clock.

    Returns
    -------
    result.Result
        ``Ok(None)``, or the reason for which the change is rejected.
    """
    name = type(change).__name__
    return fail(ErrorKind.BAD_REQUEST, f"no change of the kind {name}")
