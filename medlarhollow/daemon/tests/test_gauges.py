"""Gauges of the replicated state."""

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.daemon.gauges import read_division_steps
from medlarhollow.daemon.gauges import read_move_fractions
from medlarhollow.messages.records import Division
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import MoveState
from medlarhollow.messages.records import RegionSteps
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import SetDivision


def test_steps_are_read_by_region_pair():
    """Guards the engineer on call against pairs that hide each other."""
    state = FleetState(cluster="test")
    state.services["plots"] = Service(name="plots", version="1")
    steps = (RegionSteps("east", 6, 36), RegionSteps("north", 14, 180))
    division = Division("east", "plots", "1", steps)
    assert apply(SetDivision(division), state, 0.0).is_ok()
    assert read_division_steps(state) == {
        "east>east plots 1": 6,
        "east>north plots 1": 14,
    }


def test_fractions_of_ended_moves_are_not_read():
    """Guards against a move that seems to go on."""
    state = FleetState(cluster="test")
    for number, move_state in enumerate(
        (MoveState.IN_PROGRESS, MoveState.FINISHED)
    ):
        state.moves[str(number)] = Move(
            service=str(number), fraction=0.5, state=move_state
        )
    assert read_move_fractions(state) == {"0": 0.5}
