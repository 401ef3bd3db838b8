"""Order of the entry VMs in a look-up response."""

import collections

import attrs
import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.membership import list_entry_vms
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import Shift
from medlarhollow.messages.records import VmState


def make_fleet():
    locations = [
        ("north", "north-a", 3),
        ("north", "north-b", 2),
        ("south", "south-a", 2),
    ]
    return make_state(
        vms=[
            (f"{data_centre}-{number}", region, data_centre, "")
            for region, data_centre, count in locations
            for number in range(count)
        ]
    )


def names(state, **more):
    listed = list_entry_vms(state, make_settings("x"), **more)
    return [vm.name for vm in listed]


def test_near_vms_come_first_with_one_alternative():
    """Guards callers against a list without another data centre."""
    assert names(make_fleet()) == ["north-a-0", "north-a-1", "north-b-0"]


@pytest.mark.parametrize(
    "change", [{"state": VmState.DRAINING}, {"caller_address": ""}]
)
def test_vms_that_accept_no_callers_are_omitted(change):
    """Guards against callers sent to draining VMs or control replicas."""
    state = make_fleet()
    vm = state.vms["north-a-0"]
    state.vms[vm.name] = attrs.evolve(vm, **change)
    assert "north-a-0" not in names(state)


def test_silent_vms_are_omitted():
    """Guards against a dead VM that the roster still lists."""
    listed = names(
        make_fleet(), accepts_callers=lambda vm: vm.name != "north-a-0"
    )
    assert "north-a-0" not in listed


def test_callers_are_spread_over_vms_of_equal_rank():
    """Guards against one VM that receives all callers."""
    first = collections.Counter(
        names(make_fleet(), spread=number)[0] for number in range(300)
    )
    assert first == {f"north-a-{number}": 100 for number in range(3)}


@pytest.mark.parametrize(
    ("fraction", "expected"), [(0.0, 0.0), (0.5, 0.2), (1.0, 0.4)]
)
def test_weights_of_the_active_preset_decide_the_region(fraction, expected):
    """Guards the shift to a preset: look-ups follow each of its steps."""
    state = make_fleet()
    weights = (
        RegionWeight("north", "north", 0.6),
        RegionWeight("north", "south", 0.4),
    )
    state.presets["peak"] = Preset(name="peak", weights=weights)
    base = (RegionWeight("north", "north", 1.0),)
    state.shift = Shift(preset="peak", base=base, fraction=fraction)
    count = 2000
    south = sum(
        names(state, caller_region="north", spread=number * 7919)[
            0
        ].startswith("south")
        for number in range(count)
    )
    assert south / count == pytest.approx(expected, abs=0.03)


def test_a_caller_of_another_region_gets_its_own_region_first():
    """Guards the latency of callers whose look-up reaches a distant VM."""
    listed = names(make_fleet(), caller_region="south")
    assert listed[0].startswith("south-a")
