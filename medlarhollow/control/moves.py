"""Leader task that carries out version moves."""

from ..messages.records import MoveState
from ..moves.monitor import MoveMonitor
from ..moves.planner import choose_excess
from ..moves.planner import plan_move

__all__ = ["MoveController"]


class MoveController:
    """Monitor all moves in progress and plan their next changes.

    The samples are not replicated. A new leader starts without any and makes
    no step before it has collected enough of its own.
    """

    def __init__(self):
        self._monitors = {}

    def plan(self, state, samples, now):
        """Add new samples and return the changes that are due.

        Parameters
        ----------
        state : FleetState
            Provides the moves.
        samples : iterable of VersionSample
            Received since the last call.
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
        for move_id in [key for key in self._monitors if key not in moves]:
            del self._monitors[move_id]
        changes = []
        for move_id, move in moves.items():
            monitor = self._monitors.get(move_id)
            if monitor is None:
                monitor = self._monitors[move_id] = MoveMonitor(move, now)
            monitor.update(move, samples, now)
            ruled_out = monitor.has_ruled_out(choose_excess(move, now), now)
            change = plan_move(move, monitor.finding, ruled_out, now)
            if change is not None:
                changes.append(change)
        return changes
