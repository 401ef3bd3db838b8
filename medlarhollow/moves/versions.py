"""Selection of the service version that serves a request."""

from ..messages.records import MoveState

__all__ = ["choose_version", "find_last_move", "may_stop_old_version"]

# Time within which a change is in force on all VMs.
_PROPAGATION_S = 1.0
# The end of a move is reported this long before its deadline at the latest.
_REPORT_MARGIN_S = 0.3


def choose_version(state, service, point):
    """Return the version for a request.

    Parameters
    ----------
    state : FleetState
        Contains the services and their moves.
    service : str
        Name of the service.
    point : float
        Split point of the request, uniform in [0, 1).

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
    """Return the most recently started move of a service, or None."""
    moves = [move for move in state.moves.values() if move.service == service]
    return max(
        moves,
        key=lambda move: (move.started_at_s, move.move_id),
        default=None,
    )


def may_stop_old_version(state, move, now):
    """Return whether the servers of the old version may be stopped.

    Parameters
    ----------
    state : FleetState
        Contains the routes.
    move : Move
        A move that has finished.
    now : float
        Unix time in seconds.

    Returns
    -------
    bool
        True once every VM has received the end of the move and all requests
        sent to the old version before have completed or timed out, and in
        any case shortly before the deadline.
    """
    max_timeout_s = max(
        (
            route.timeout_s
            for route in state.routes.values()
            if route.service == move.service
            or any(
                destination.service == move.service
                for destination in route.split
            )
        ),
        default=0.0,
    )
    completed_at_s = move.ended_at_s + _PROPAGATION_S + max_timeout_s
    report_at_s = max(
        move.ended_at_s + _PROPAGATION_S, move.deadline_s - _REPORT_MARGIN_S
    )
    return now >= min(completed_at_s, report_at_s)
