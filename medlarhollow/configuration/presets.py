"""Changes of presets and the shift of traffic to the active one."""

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

# Sums of weights must not overflow.
_LARGEST_WEIGHT = 1e6


@apply.register
def _put_preset(change: PutPreset, state, now):
    preset = change.preset
    if preset is None:
        return fail(ErrorKind.BAD_REQUEST, "a preset is needed")
    checked = _check_preset(preset)
    if checked.is_err():
        return checked
    known = state.presets.get(preset.name)
    base = make_weight_records(effective_weights(state))
    state.presets[preset.name] = preset
    if state.shift is None:
        state.shift = Shift(preset=preset.name)
    elif state.shift.preset == preset.name and normalize_weights(
        known.weights
    ) != normalize_weights(preset.weights):
        # New weights of the active preset are reached by steps as well;
        # taking them over at once would move more traffic than the cap.
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
        # `stepped_at_s` is kept: activating presets in turn must not bring
        # two steps closer together than the step time.
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
    name = check_name("preset", preset.name)
    if name.is_err():
        return name
    rules = check_step_limits(
        "shift_cap", preset.shift_cap, "shift_step_s", preset.shift_step_s
    )
    if rules.is_err():
        return rules
    if not 0 <= preset.reserve < 1:
        return fail(
            ErrorKind.BAD_REQUEST, "reserve must be at least 0 and below 1"
        )
    return _check_weights(preset.weights)


def _check_weights(weights):
    pairs = set()
    totals = {}
    for weight in weights:
        for region in (weight.from_region, weight.to_region):
            name = check_name("region", region)
            if name.is_err():
                return name
        if not 0 <= weight.weight <= _LARGEST_WEIGHT:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"weight of '{weight.from_region}' to '{weight.to_region}': "
                f"must be a number from 0 to {_LARGEST_WEIGHT:g}",
            )
        pair = (weight.from_region, weight.to_region)
        if pair in pairs:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"'{pair[0]}' to '{pair[1]}' has two weights",
            )
        pairs.add(pair)
        totals.setdefault(pair[0], []).append(weight.weight)
    for region, parts in totals.items():
        if math.fsum(parts) <= 0:
            return fail(
                ErrorKind.BAD_REQUEST,
                f"the weights of '{region}' must have a sum above 0",
            )
    return Ok(None)
