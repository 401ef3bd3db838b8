"""Fleet time while some clocks are wrong, jump or stop."""

import pytest

from medlarhollow.usage.fleet_clock import FleetClock

from .vms import EPOCH_S
from .vms import SimulatedVm
from .vms import sync

AHEAD_S = 2.4
# Of a number of seconds since 1970.
ROUNDING_S = 1e-5


def make_fleet(leader_error_s=0.0, wrong_vms=0, vms=9):
    leader = SimulatedVm("control-1", wall_error_s=leader_error_s)
    downstream = [
        SimulatedVm(
            f"vm-{number}",
            wall_error_s=AHEAD_S if number < wrong_vms else 0.0,
        )
        for number in range(vms)
    ]
    return leader, downstream


def read(clock, now):
    """Return the fleet time since the start of the test.

    A relative tolerance on the time since 1970 would accept anything.
    """
    return clock.fleet_time(now) - EPOCH_S


def run_round(leader, downstream, now):
    leader.collect(now)
    for vm in downstream:
        leader.receive(vm.make_request(now), now)
    leader.derive_fleet_time(now, len(downstream) + 1)
    for vm in downstream:
        vm.follow_clock(leader, now)


@pytest.mark.parametrize(
    ("leader_error_s", "wrong_vms"),
    [(0.0, 0), (AHEAD_S, 0), (0.0, 3), (AHEAD_S, 3), (-AHEAD_S, 3)],
)
def test_minority_of_wrong_clocks_has_no_effect(leader_error_s, wrong_vms):
    """Guards against windows that begin 2.4 s early because the leader or a
    third of the VMs is ahead."""
    leader, downstream = make_fleet(leader_error_s, wrong_vms)
    run_round(leader, downstream, 1.0)
    for vm in (leader, *downstream):
        assert read(vm.clock, 11.0) == pytest.approx(11.0, abs=ROUNDING_S)


@pytest.mark.parametrize("jump_s", [AHEAD_S, -AHEAD_S, 3600.0])
def test_wall_clock_that_jumps_moves_no_fleet_time(jump_s):
    """Guards against a VM or leader that follows its own clock after it has
    jumped forward or back."""
    leader, downstream = make_fleet()
    run_round(leader, downstream, 1.0)
    for jump in (jump_s, 0.0):
        leader.wall_error_s = downstream[0].wall_error_s = jump
        run_round(leader, downstream, 2.0)
        for vm in (leader, downstream[0]):
            assert read(vm.clock, 2.0) == pytest.approx(2.0, abs=ROUNDING_S)


def test_new_leader_keeps_its_estimate_until_it_hears_a_majority():
    """Guards against a new leader that is 2.4 s ahead and shifts the time of
    the fleet while it has heard no other VM."""
    leader, downstream = make_fleet()
    successor = downstream[0]
    run_round(leader, downstream, 1.0)
    successor.wall_error_s = AHEAD_S
    successor.collect(2.0)
    successor.derive_fleet_time(2.0, 10)
    assert read(successor.clock, 2.0) == pytest.approx(2.0, abs=ROUNDING_S)
    for vm in downstream[1:]:
        successor.receive(vm.make_request(3.0), 3.0)
    successor.derive_fleet_time(3.0, 10)
    assert read(successor.clock, 3.0) == pytest.approx(3.0, abs=ROUNDING_S)


def test_restarted_leader_has_no_fleet_time_until_it_hears_a_majority():
    """Guards against a leader that passes on the time of its own clock."""
    leader, downstream = make_fleet(AHEAD_S)
    leader.collect(1.0)
    leader.derive_fleet_time(1.0, 10)
    downstream[0].follow_clock(leader, 1.0)
    assert not leader.clock.is_synchronized
    assert not downstream[0].clock.is_synchronized


def test_wall_clock_is_used_until_a_fleet_time_is_known():
    fleet_clock = FleetClock(lambda: 1234.0)
    fleet_clock.add_fleet_time(0.0, 0.0, 1.0, 1.0)
    assert fleet_clock.fleet_time(7.0) == 1234.0


def test_reports_without_a_wall_clock_are_ignored():
    """Guards against a VM of an earlier version that counts as a clock that
    shows 1970."""
    leader, downstream = make_fleet(vms=3)
    for vm in downstream:
        vm.clock = FleetClock(lambda: 0.0)
    for vm in downstream:
        leader.receive(vm.make_request(1.0), 1.0)
    assert leader.reports.list_clock_offsets(1.0, 3.0) == []


def test_age_of_a_forwarded_report_is_taken_into_account():
    """Guards against a clock that appears late by the time for which relays
    kept its report."""
    leader, (relay, vm) = make_fleet(vms=2)
    relay.receive(vm.make_request(1.0), 1.0)
    leader.receive(relay.make_request(1.5), 1.5)
    offsets = leader.reports.list_clock_offsets(2.0, 3.0)
    errors_s = [offset_s - EPOCH_S for offset_s in offsets]
    assert errors_s == pytest.approx([0.0] * 2, abs=ROUNDING_S)


def test_hold_and_transit_of_a_response_are_taken_into_account():
    """Guards against a fleet time that is late by the hold of each relay."""
    leader, (relay, vm) = make_fleet(vms=2)
    run_round(leader, [relay], 1.0)
    leader.derive_fleet_time(1.0, 1)
    relay.follow_clock(leader, 1.54, round_trip_s=0.04, held_s=0.5)
    vm.follow_clock(relay, 2.1, round_trip_s=0.04, held_s=0.5)
    assert read(vm.clock, 2.1) == pytest.approx(2.1, abs=ROUNDING_S)


def test_response_that_was_delayed_for_long_is_discarded():
    """Guards against a VM that was suspended while a response arrived, and
    takes the fleet time of minutes ago for the present one."""
    fleet_clock = FleetClock(lambda: 0.0)
    fleet_clock.add_fleet_time(EPOCH_S, 0.5, -0.52, 0.0)
    fleet_clock.add_fleet_time(EPOCH_S + 0.5, 0.5, 0.0, 60.0)
    assert read(fleet_clock, 60.0) == pytest.approx(60.0, abs=0.1)
    fleet_clock.add_fleet_time(EPOCH_S + 60.5, 0.5, 60.0, 60.51)
    assert read(fleet_clock, 61.0) == pytest.approx(61.0, abs=0.1)


def test_slower_path_replaces_the_estimate_in_time():
    """Guards against a VM that keeps an estimate for good because its later
    upstreams are farther away."""
    fleet_clock = FleetClock(lambda: 0.0)
    fleet_clock.add_fleet_time(EPOCH_S, 0.0, 0.0, 0.0)
    for now in range(1, 6):
        fleet_clock.add_fleet_time(EPOCH_S + now + 1.0, 0.0, now - 0.3, now)
    assert read(fleet_clock, 5.0) == pytest.approx(6.15, abs=ROUNDING_S)


def test_fleet_time_passes_over_two_relays():
    leader, (outer, inner, vm) = make_fleet(AHEAD_S, 1, vms=3)
    for now in (1.0, 1.5, 2.0, 2.5):
        leader.collect(now)
        sync(vm, inner, now)
        sync(inner, outer, now)
        sync(outer, leader, now)
        leader.derive_fleet_time(now, 4)
    for relayed in (outer, inner, vm):
        assert relayed.clock.is_synchronized
    offsets = leader.reports.list_clock_offsets(2.5, 3.0)
    assert len(offsets) == 4
