"""Records for tests of the fleet state."""

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
    """Apply a change that must be accepted, as the ledger does."""
    result = apply(body, state, now)
    assert result.is_ok(), result.err_value.detail
    state.revision += 1
    state.time_s = now


def assert_rejected(state, body, kind, words, now=NOW):
    """Apply a change that must be rejected and alter nothing."""
    before = state.snapshot()
    result = apply(body, state, now)
    assert result.is_err(), f"accepted: {body}"
    assert result.err_value.kind is kind
    assert words in result.err_value.detail
    assert state.snapshot() == before


def preset(name, rows, cap=0.25, step_s=10.0, **more):
    """Return a preset from rows like ``{"n": {"s": 1.0}}``."""
    weights = tuple(
        RegionWeight(origin, region, weight)
        for origin, row in rows.items()
        for region, weight in row.items()
    )
    return Preset(name, weights, cap, step_s, **more)


def move(**more):
    """Return a move that takes 25% every 10 s and may take 100 s."""
    values = {
        "move_id": "m1",
        "service": "plots",
        "to_version": "2",
        "deadline_s": NOW + 100,
        "cap": 0.25,
        "step_s": 10.0,
    }
    return Move(**{**values, **more})


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


def start_move(fleet, **more):
    """Start a move and return its record."""
    assert_accepted(fleet, StartMove(move(**more)))
    return fleet.moves[more.get("move_id", "m1")]
