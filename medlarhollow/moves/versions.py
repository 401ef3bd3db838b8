"""Choose the version of a service that serves a request."""

from ..messages.records import MoveState

__all__ = ["choose_version", "find_last_move", "may_stop_old_version"]

# A change is in force everywhere within this time.
_SPREAD_S = 1.0
# Time before the deadline at which the end of a move is told in any case.
_TELL_S = 0.3


def choose_version(state, service, point):
    """Return the version for a request.

    Parameters
    ----------
    state : FleetState
        Holds the services and their moves.
    service : str
        Name of the service.
    point : float
        Position of the request in 0 to 1.

    Returns
    -------
    str
        The new version for points below the move's fraction, otherwise the
        version in force.
    """
    for move in state.moves.values():
        if (
            move.service == service
            and move.state is MoveState.IN_PROGRESS
            and point < move.fraction
        ):
            return move.to_version
    return state.services[service].version


def find_last_move(state, service):
    """Return the move of a service that was started last, or None."""
    moves = [move for move in state.moves.values() if move.service == service]
    return max(
        moves,
        key=lambda move: (move.started_at_s, move.move_id),
        default=None,
    )


def may_stop_old_version(state, move, now):
    """Tell whether the servers of the old version may be stopped.

    Parameters
    ----------
    state : FleetState
        Holds the routes.
    move : Move
        A move that has finished.
    now : float
        Unix time in seconds.

    Returns
    -------
    bool
        True once every VM has heard of the end and what was sent to the old
        version before is answered or has timed out, and shortly before the
        deadline.
    """
    longest_s = max(
        (
            route.timeout_s
            for route in state.routes.values()
            if route.service == move.service
            or any(part.service == move.service for part in route.split)
        ),
        default=0.0,
    )
    answered_at_s = move.ended_at_s + _SPREAD_S + longest_s
    told_at_s = max(move.ended_at_s + _SPREAD_S, move.deadline_s - _TELL_S)
    return now >= min(answered_at_s, told_at_s)
