"""Duty of the leader: carry out version moves."""

from ..messages.records import MoveState
from ..moves.monitor import MoveMonitor
from ..moves.planner import choose_excess
from ..moves.planner import plan_move

__all__ = ["MoveController"]


class MoveController:
    """Watch all moves in progress and plan their next changes.

    Nothing is kept that a new leader would need: it starts with no samples
    and makes no step before it has enough of its own.
    """

    def __init__(self):
        self._watches = {}

    def plan(self, state, samples, now):
        """Take new samples and return the changes that are due.

        Parameters
        ----------
        state : FleetState
            Holds the moves.
        samples : iterable of VersionSample
            Since the last call.
        now : float
            Unix time in seconds.

        Returns
        -------
        list of (StepMove or RollBackMove or FinishMove)
            At most one for each move in progress.
        """
        moves = {
            move.move_id: move
            for move in state.moves.values()
            if move.state is MoveState.IN_PROGRESS
        }
        for move_id in [key for key in self._watches if key not in moves]:
            del self._watches[move_id]
        changes = []
        for move_id, move in moves.items():
            watch = self._watches.get(move_id)
            if watch is None:
                watch = self._watches[move_id] = MoveMonitor(move, now)
            watch.update(move, samples, now)
            proven = watch.has_ruled_out(choose_excess(move, now), now)
            change = plan_move(move, watch.finding, proven, now)
            if change is not None:
                changes.append(change)
        return changes
