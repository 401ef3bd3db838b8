"""Choose the version of a service that serves a request."""

from ..messages.records import MoveState

__all__ = ["choose_version", "find_last_move"]


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
