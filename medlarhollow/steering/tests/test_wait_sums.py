"""Sums of waits and held slots for the control leader."""

import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import WaitSample
from medlarhollow.steering import Assignment
from medlarhollow.steering import AttemptResult
from medlarhollow.steering.regions.wait_sums import make_wait_sums


def make_assignment(region, assigned_at, wait_s=0.0, version="1"):
    server = BackendServer(server_id="s", service="plots", region=region)
    return Assignment(server, version, wait_s=wait_s, assigned_at=assigned_at)


def make_sums(division="fleet"):
    return make_wait_sums(make_settings("e1", backends__division=division))


def test_sums_by_version_and_server_region():
    """Guards the leader's figures against a mix of pools or regions."""
    sums = make_sums()
    sums.record(make_assignment("north", 1.0, 0.5), 3.0)
    sums.record(make_assignment("north", 2.0, 0.25), 3.0)
    sums.record(make_assignment("east", 2.5), 3.0)
    sums.record(make_assignment("east", 2.0, version="2"), 3.0)
    assert sums.pop_samples() == (
        WaitSample("north", "plots", "1", "north", 2, 0.75, 3.0),
        WaitSample("north", "plots", "1", "east", 1, 0.0, 0.5),
        WaitSample("north", "plots", "2", "east", 1, 0.0, 1.0),
    )
    assert sums.pop_samples() == ()


def test_nothing_is_summed_with_local_division():
    """Guards fleets that don't use the division against its messages."""
    sums = make_sums("local")
    sums.record(make_assignment("north", 1.0), 2.0)
    assert sums.pop_samples() == ()


@pytest.mark.parametrize("result", [AttemptResult.OK, AttemptResult.CANCELLED])
async def test_dispatcher_sums_the_time_of_a_slot(lone_vm, result):
    """Guards against slots that are held without being counted, such as those
    of attempts that were cancelled."""
    lone_vm.dispatcher._wait_sums = make_sums()
    lone_vm.announce("s1", region="north")
    assignment = (await lone_vm.acquire()).ok_value
    released_at = assignment.assigned_at + 0.5
    lone_vm.dispatcher.release(assignment, result, 0.1, released_at)
    [sample] = lone_vm.dispatcher.wait_sums.pop_samples()
    assert (sample.server_region, sample.requests) == ("north", 1)
    assert sample.busy_s == pytest.approx(0.5)
