"""Authorization of changes by their author."""

import functools

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import FinishMove
from ..messages.records import SetAllocator
from ..messages.records import SetDivision
from ..messages.records import SetServiceVersion
from ..messages.records import SetShares
from ..messages.records import SetVm
from ..messages.records import StepMove
from ..messages.records import StepShift

__all__ = ["check_author"]


def check_author(change):
    """Reject changes by operators that only the leader may propose.

    Parameters
    ----------
    change : Change
        Has an author if it comes from an operator, none if it comes from
        the leader.

    Returns
    -------
    result.Result
        ``Ok(None)`` or ``FORBIDDEN``.
    """
    if change.author and _is_leader_only(change.body):
        name = type(change.body).__name__
        return fail(
            ErrorKind.FORBIDDEN, f"{name} is reserved to the control leader"
        )
    return Ok(None)


@functools.singledispatch
def _is_leader_only(body):
    return False


@_is_leader_only.register
def _leader_only(
    body: FinishMove
    | SetAllocator
    | SetDivision
    | SetServiceVersion
    | SetShares
    | SetVm
    | StepMove
    | StepShift,
):
    return True
