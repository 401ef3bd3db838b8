"""Orders that a later order about the same subject supersedes."""

import functools

from result import Ok

from ..errors import fail
from ..messages.records import EndEvacuation
from ..messages.records import ErrorKind
from ..messages.records import StartEvacuation
from ..messages.records import StartMove

__all__ = ["order_subject", "resolve_superseded"]


@functools.singledispatch
def order_subject(body):
    """Return what an order is about, or an empty string.

    Parameters
    ----------
    body : object
        Body of a `Change` record.

    Returns
    -------
    str
        Equal for orders that take each other back. Empty for changes that
        other means protect: a base revision, an identifier of their own.
    """
    return ""


@order_subject.register
def _evacuation_subject(body: StartEvacuation | EndEvacuation):
    return f"evacuation/{body.data_centre}"


@order_subject.register
def _move_subject(body: StartMove):
    return "" if body.move is None else f"move/{body.move.service}"


@functools.singledispatch
def resolve_superseded(body, state):
    """Return the result of an order that was superseded before it executed.

    Parameters
    ----------
    body : object
        Body of a `Change` record with an :func:`order_subject`.
    state : FleetState
        The fleet state, which the order leaves as it is.

    Returns
    -------
    result.Result
        ``Ok(None)`` if the order counts as executed just before the one that
        superseded it.
    """
    return Ok(None)


@resolve_superseded.register
def _resolve_move(body: StartMove, state):
    service, version = body.move.service, body.move.to_version
    if any(
        (move.service, move.to_version) == (service, version)
        for move in state.moves.values()
    ):
        return Ok(None)
    return fail(
        ErrorKind.CONFLICT,
        f"another move of '{service}' was started since the order was sent",
    )
