"""Sample records and assertions for tests of the fleet state."""

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import Move
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import PutPreset
from medlarhollow.messages.records import PutService
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import StartMove
from medlarhollow.messages.records import Vm

HASH = bytes(32)
NOW = 1000.0


def assert_accepted(state, body, now=NOW):
    """Apply a change as the state machine does; assert that it is accepted."""
    result = apply(body, state, now)
    assert result.is_ok(), result.err_value.detail
    state.revision += 1
    state.time_s = now


def assert_rejected(state, body, kind, expected_detail, now=NOW):
    """Assert that a change is rejected and leaves the state unmodified."""
    before = state.snapshot()
    result = apply(body, state, now)
    assert result.is_err(), f"accepted: {body}"
    assert result.err_value.kind is kind
    assert expected_detail in result.err_value.detail
    assert state.snapshot() == before


def preset(name, rows, cap=0.25, step_s=10.0, **fields):
    """Return a preset from rows like ``{"n": {"s": 1.0}}``."""
    weights = tuple(
        RegionWeight(origin, region, weight)
        for origin, row in rows.items()
        for region, weight in row.items()
    )
    return Preset(name, weights, cap, step_s, **fields)


def move(**fields):
    """Return a move by 25% every 10 s, with a deadline in 100 s."""
    values = {
        "move_id": "m1",
        "service": "plots",
        "to_version": "2",
        "deadline_s": NOW + 100,
        "cap": 0.25,
        "step_s": 10.0,
    }
    return Move(**{**values, **fields})


def make_state():
    """Return a state with an account, two services and two presets."""
    state = FleetState(cluster="test")
    assert_accepted(state, PutAccount(Account("crew", 100.0, 50.0)))
    for name in ("plots", "survey"):
        assert_accepted(state, PutService(Service(name, HASH, "1")))
    assert_accepted(state, PutPreset(preset("day", {"n": {"n": 1.0}})))
    assert_accepted(
        state, PutPreset(preset("peak", {"n": {"n": 1.0, "s": 3.0}}))
    )
    for name in ("a", "b"):
        assert_accepted(state, SetVm(Vm(f"{name}1", "i1", "n", f"dc-{name}")))
    return state


def start_move(fleet, **fields):
    """Start a move and return its record."""
    assert_accepted(fleet, StartMove(move(**fields)))
    return fleet.moves[fields.get("move_id", "m1")]
