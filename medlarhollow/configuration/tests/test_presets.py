"""Test the rules for presets and shifts."""

import pytest

from medlarhollow.configuration import effective_weights
from medlarhollow.configuration import FleetState
from medlarhollow.messages.records import ActivatePreset
from medlarhollow.messages.records import DeletePreset
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import PutPreset
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import StepShift

from .samples import assert_accepted
from .samples import assert_rejected
from .samples import make_state
from .samples import NOW
from .samples import preset


@pytest.mark.parametrize(
    ("record", "expected_detail"),
    [
        (None, "a preset is needed"),
        (preset("no good", {}), "preset name"),
        (preset("x", {}, cap=0.0), "shift_cap"),
        (preset("x", {}, cap=float("nan")), "shift_cap"),
        (preset("x", {}, step_s=0.0), "shift_step_s"),
        (preset("x", {}, reserve=1.0), "reserve"),
        (preset("x", {"n": {"": 1.0}}), "region name"),
        (preset("x", {"n": {"s": -1.0}}), "from 0 to 1e+06"),
        (preset("x", {"n": {"s": float("nan")}}), "from 0 to 1e+06"),
        (preset("x", {"n": {"s": 0.0}}), "sum above 0"),
        (preset("x", {"n": {"s": 1e308, "t": 1e308}}), "from 0 to 1e+06"),
    ],
)
def test_an_invalid_preset_is_rejected(record, expected_detail):
    """Guards steering against invalid weights."""
    assert_rejected(
        make_state(), PutPreset(record), ErrorKind.BAD_REQUEST, expected_detail
    )


def test_two_weights_for_one_pair_are_rejected():
    """One of the two weights would be discarded silently."""
    record = preset("x", {})
    duplicates = (RegionWeight("n", "s", 1.0), RegionWeight("n", "s", 2.0))
    body = PutPreset(type(record)("x", duplicates, 0.1, 1.0))
    assert_rejected(make_state(), body, ErrorKind.BAD_REQUEST, "two weights")


def test_the_first_preset_is_activated_and_reached_in_steps():
    """If there are presets, one must be active; the first one must not move
    all traffic at once either."""
    state = FleetState()
    assert effective_weights(state) == {}
    assert_accepted(state, PutPreset(preset("all", {"n": {"s": 1.0}})))
    assert state.shift.preset == "all"
    assert effective_weights(state) == {"n": {"n": 1.0}}
    assert_accepted(state, StepShift(0.25))
    assert effective_weights(state) == {"n": {"n": 0.75, "s": 0.25}}


def test_the_active_preset_cannot_be_deleted():
    """Without an active preset, no weights apply to the traffic."""
    state = make_state()
    delete = DeletePreset("day")
    assert_rejected(state, delete, ErrorKind.CONFLICT, "is active")
    assert_accepted(state, ActivatePreset("peak"))
    assert_accepted(state, delete)
    not_found = ErrorKind.NOT_FOUND
    assert_rejected(state, ActivatePreset("day"), not_found, "no preset 'day'")
    assert_rejected(state, delete, not_found, "no preset 'day'")


def test_a_second_activation_starts_from_the_weights_in_effect():
    """Starting from the previous preset would revert the shift at once."""
    state = make_state()
    assert_accepted(state, ActivatePreset("peak"))
    assert_accepted(state, StepShift(0.25))
    before = effective_weights(state)
    assert before["n"]["s"] == pytest.approx(0.25 * 0.75)
    assert_accepted(state, ActivatePreset("day"), NOW + 5)
    assert effective_weights(state) == before
    step = StepShift(0.25)
    assert_rejected(
        state, step, ErrorKind.CONFLICT, "may be made in 5", NOW + 5
    )
    assert_accepted(state, step, NOW + 10)
    after = effective_weights(state)
    assert after["n"]["s"] == pytest.approx(0.25 * 0.75 * 0.75)


def test_repeated_activation_of_a_preset_changes_nothing():
    """A repeated order must not restart the shift."""
    state = make_state()
    assert_accepted(state, ActivatePreset("peak"))
    assert_accepted(state, StepShift(0.25))
    shift = state.shift
    assert_accepted(state, ActivatePreset("peak"))
    assert state.shift == shift


def test_new_weights_of_the_active_preset_are_reached_in_steps():
    """Replacing the active preset would otherwise move all traffic at once."""
    state = make_state()
    assert_accepted(state, StepShift(0.25))
    before = effective_weights(state)
    assert_accepted(state, PutPreset(preset("day", {"n": {"s": 1.0}})))
    assert effective_weights(state) == before
    shift = state.shift
    assert_accepted(
        state, PutPreset(preset("day", {"n": {"s": 2.0}}, cap=0.5))
    )
    assert state.shift == shift


@pytest.mark.parametrize(
    ("fraction", "wait_s", "expected_detail"),
    [
        (0.51, 10.0, "more than the cap"),
        (0.5, 9.9, "may be made in"),
        (0.25, 10.0, "would go back"),
        (0.2, 10.0, "would go back"),
    ],
)
def test_a_step_respects_cap_and_step_interval(
    fraction, wait_s, expected_detail
):
    """Guards the invariant that no step of a shift exceeds its cap."""
    state = make_state()
    assert_accepted(state, ActivatePreset("peak"))
    assert_accepted(state, StepShift(0.25))
    step = StepShift(fraction)
    assert_rejected(
        state, step, ErrorKind.CONFLICT, expected_detail, NOW + wait_s
    )
