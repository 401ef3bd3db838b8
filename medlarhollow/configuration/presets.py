"""Apply changes to presets and shift traffic to the active preset."""

import math

import attrs
from result import Ok

from ..errors import fail
from ..messages.records import ActivatePreset
from ..messages.records import DeletePreset
from ..messages.records import ErrorKind
from ..messages.records import PutPreset
from ..messages.records import Shift
from ..messages.records import StepShift
from .apply import apply
from .names import check_name
from .steps import check_step
from .steps import check_step_limits
from .weights import effective_weights
from .weights import make_weight_records
from .weights import normalize_weights

__all__ = []

# Keeps sums of weights from overflowing.
_MAX_WEIGHT = 1e6


@apply.register
def _put_preset(change: PutPreset, state, now):
    preset = change.preset
    if preset is None:
        return fail(ErrorKind.BAD_REQUEST, "a preset is needed")
    checked = _check_preset(preset)
    if checked.is_err():
        return checked
    current = state.presets.get(preset.name)
    base = make_weight_records(effective_weights(state))
    state.presets[preset.name] = preset
    if state.shift is None:
        state.shift = Shift(preset=preset.name)
    elif state.shift.preset == preset.name and normalize_weights(
        current.weights
    ) != normalize_weights(preset.weights):
        # New weights of the active preset are also reached in steps, since
        # applying them at once would move more traffic than the cap allows.
        state.shift = attrs.evolve(state.shift, base=base, fraction=0.0)
    return Ok(None)


@apply.register
def _delete_preset(change: DeletePreset, state, now):
    if change.name not in state.presets:
        return fail(ErrorKind.NOT_FOUND, f"no preset '{change.name}'")
    if state.shift.preset == change.name:
        return fail(
            ErrorKind.CONFLICT,
            f"preset '{change.name}' is active; activate another one first",
        )
    del state.presets[change.name]
    return Ok(None)


@apply.register
def _activate_preset(change: ActivatePreset, state, now):
    if change.name not in state.presets:
        return fail(ErrorKind.NOT_FOUND, f"no preset '{change.name}'")
    if state.shift.preset != change.name:
        # Keep `stepped_at_s`, so that alternating between presets can't
        # bypass the minimum step interval.
        state.shift = Shift(
            preset=change.name,
            base=make_weight_records(effective_weights(state)),
            fraction=0.0,
            stepped_at_s=state.shift.stepped_at_s,
        )
    return Ok(None)


@apply.register
def _step_shift(change: StepShift, state, now):
    shift = state.shift
    if shift is None:
        return fail(ErrorKind.CONFLICT, "no preset is active")
    preset = state.presets[shift.preset]
    checked = check_step(
        shift, change.fraction, preset.shift_cap, preset.shift_step_s, now
    )
    if checked.is_err():
        return checked
    if change.fraction <= shift.fraction:
        return fail(
            ErrorKind.CONFLICT,
            f"the shift is at {shift.fraction:g} already, "
            f"a step to {change.fraction:g} would go back",
        )
    state.shift = attrs.evolve(
        shift, fraction=change.fraction, stepped_at_s=now
    )
    return Ok(None)


def _check_preset(preset):
    checked_name = check_name("preset", preset.name)
    if checked_name.is_err():
        return checked_name
    checked_limits = check_step_limits(
        "shift_cap", preset.shift_cap, "shift_step_s", preset.shift_step_s
    )
    if checked_limits.is_err():
        return checked_limits
    if not 0 <= preset.reserve < 1:
        return fail(
            ErrorKind.BAD_REQUEST, "reserve must be at least 0 and below 1"
        )
    return _check_weights(preset.weights)


def _check_weights(weights):
    pairs = set()
    weights_by_origin = {}
    for weight in weights:
        for region in (weight.from_region, weight.to_region):
            checked_name = check_name("region", region)
            if checked_name.is_err():
                return checked_name
        if not 0 <= weight.weight <= _MAX_WEIGHT:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"weight of '{weight.from_region}' to '{weight.to_region}': "
                f"must be a number from 0 to {_MAX_WEIGHT:g}",
            )
        pair = (weight.from_region, weight.to_region)
        if pair in pairs:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"'{pair[0]}' to '{pair[1]}' has two weights",
            )
        pairs.add(pair)
        weights_by_origin.setdefault(pair[0], []).append(weight.weight)
    for region, row in weights_by_origin.items():
        if math.fsum(row) <= 0:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"the weights of '{region}' must have a sum above 0",
            )
    return Ok(None)
