"""At most one VM may grant the tokens of a data centre at any time."""

import attrs
import pytest

from medlarhollow.configuration import FleetState
from medlarhollow.control.allocators import plan_allocators
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import SetAllocator
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmState

from .fleet import accept
from .fleet import LEASE_S
from .fleet import make_leases
from .fleet import make_state
from .fleet import report
from .fleet import Settings
from .fleet import vm


def state_with_allocator(*names):
    """Return a state in which the first VM is the allocator."""
    state = make_state(*names)
    accept(state, SetAllocator(Allocator("dc-a", names[0], "i1")))
    return state


def plan_by_data_centre(state, leases, now):
    """Return the VMs that the leader would appoint, by data centre."""
    return {
        change.allocator.data_centre: (
            change.allocator.vm,
            change.allocator.incarnation,
        )
        for change in plan_allocators(state, leases, now)
    }


def test_each_data_centre_gets_an_allocator():
    """Guards against a data centre that cannot grant tokens."""
    state = make_state("a1", "a2", "b1")
    appointed = plan_by_data_centre(state, make_leases(), 0.0)
    assert appointed == {"dc-a": ("a1", "i1"), "dc-b": ("b1", "i1")}
    for change in plan_allocators(state, make_leases(), 0.0):
        accept(state, change)
    assert plan_by_data_centre(state, make_leases(), 0.0) == {}


def test_draining_vm_is_not_appointed_but_keeps_its_lease():
    """A draining VM stops soon, so it must not be appointed. A second
    allocator next to one that renews its lease would exceed the share."""
    state = state_with_allocator("a1", "a2")
    accept(state, SetVm(vm("a1", state=VmState.DRAINING)))
    leases = make_leases()
    leases.update([report(vm("a1"))], 100.0)
    assert plan_by_data_centre(state, leases, 100.0) == {}
    state.allocators.clear()
    assert plan_by_data_centre(state, leases, 100.0) == {"dc-a": ("a2", "i1")}


@pytest.mark.parametrize(
    ("elapsed_s", "is_due"),
    [(0.0, False), (LEASE_S + 0.1, False), (LEASE_S * 1.5 + 0.1, True)],
)
def test_successor_is_appointed_only_after_lease_and_margin(elapsed_s, is_due):
    """The allocator measures its lease by its own clock and may still grant
    tokens when the lease has expired by the leader's clock."""
    state = state_with_allocator("a1", "a2")
    accept(state, SetVm(vm("a1", state=VmState.GONE)))
    leases = make_leases()
    leases.update([report(vm("a1"))], 100.0)
    appointed = plan_by_data_centre(state, leases, 100.0 + elapsed_s)
    assert appointed == ({"dc-a": ("a2", "i1")} if is_due else {})


def test_lease_counts_from_the_time_of_a_delayed_report():
    """Relays may deliver reports of VMs that have failed in the meantime."""
    state = state_with_allocator("a1", "a2")
    accept(state, SetVm(vm("a1", state=VmState.GONE)))
    leases = make_leases()
    leases.update([report(vm("a1"))], 100.0)
    leases.update([report(vm("a1"), age_s=2.5)], 102.5)
    assert plan_by_data_centre(state, leases, 100.0 + LEASE_S * 1.5 + 0.1)


def test_new_leader_waits_for_a_full_lease():
    """A new leader has no reports yet, which does not show that the allocator
    has failed."""
    state = state_with_allocator("a1", "a2")
    accept(state, SetVm(vm("a1", state=VmState.GONE)))
    leases = make_leases(now=100.0)
    assert plan_by_data_centre(state, leases, 100.0 + LEASE_S) == {}
    assert plan_by_data_centre(state, leases, 100.0 + LEASE_S * 1.5 + 0.1)


def test_new_leader_does_not_rely_on_an_old_report():
    """The allocator may have renewed its lease with the previous leader."""
    state = state_with_allocator("a1", "a2")
    accept(state, SetVm(vm("a1", state=VmState.GONE)))
    leases = make_leases(now=100.0)
    leases.update([report(vm("a1"), age_s=2.9)], 100.0)
    assert plan_by_data_centre(state, leases, 102.0) == {}


def test_restarted_allocator_is_reappointed_with_predecessor():
    """The old process has ended, since the new one uses its address, but its
    tokens may still be spent. So the appointment marks that there was a
    predecessor. Whether that may still run determines how long the new one
    waits before its first batch."""
    state = state_with_allocator("a1", "a2")
    leases = make_leases()
    leases.update([report(vm("a1"))], 100.0)
    accept(state, SetVm(vm("a1", "i2")))
    leases.update([report(vm("a1", "i2"))], 101.0)
    assert plan_by_data_centre(state, leases, 101.0) == {"dc-a": ("a1", "i2")}
    accept(state, SetAllocator(Allocator("dc-a", "a1", "i2")))
    appointed = state.allocators["dc-a"]
    assert appointed.has_predecessor
    assert not appointed.predecessor_may_run


def test_second_restart_keeps_predecessor_may_run():
    """Guards against two restarts in a row that lose track of a process on
    another VM which may still grant tokens."""
    state = state_with_allocator("a1", "a2")
    accept(state, SetVm(vm("a1", state=VmState.GONE)))
    accept(state, SetAllocator(Allocator("dc-a", "a2", "i1")))
    assert state.allocators["dc-a"].predecessor_may_run
    accept(state, SetVm(vm("a2", "i2")))
    accept(state, SetAllocator(Allocator("dc-a", "a2", "i2")))
    assert state.allocators["dc-a"].predecessor_may_run


def test_unresponsive_allocator_is_replaced_before_the_roster():
    """A delayed roster change must not delay the next appointment."""
    state = state_with_allocator("a1", "a2")
    leases = make_leases()
    leases.update([report(vm("a1"))], 100.0)
    state.vms["a1"] = attrs.evolve(state.vms["a1"], state=VmState.DRAINING)
    assert plan_by_data_centre(state, leases, 105.0) == {"dc-a": ("a2", "i1")}


def test_registry_is_preferred_to_an_entry_vm():
    """Guards against a lack of tokens during rolling restarts of entry VMs."""
    state = make_state("a1", "a2")
    registry = attrs.evolve(
        vm("a9"), caller_address="", announce_address="127.0.0.1:1"
    )
    accept(state, SetVm(registry))
    assert plan_by_data_centre(state, make_leases(), 0.0) == {
        "dc-a": ("a9", "i1")
    }


def test_entry_vm_is_not_appointed_before_registries_are_known():
    """Guards against an entry VM that reports first and whose successor, a
    registry, has to wait for its lease after each restart of the fleet."""
    state = make_state("a1", "b1")
    for name in ("a1", "b1"):
        accept(state, SetVm(attrs.evolve(vm(name), caller_address="h:1")))
    leases = make_leases()
    assert plan_allocators(state, leases, 0.0, registries_known=False) == []
    registry = attrs.evolve(vm("a2"), announce_address="h:2")
    accept(state, SetVm(registry))
    (change,) = plan_allocators(state, leases, 0.0, registries_known=False)
    assert change.allocator.vm == "a2"
    assert len(plan_allocators(state, leases, 0.0)) == 2


def test_silent_allocator_is_replaced_before_it_leaves_the_roster():
    """Guards accounts whose tokens have one source against the time that a
    VM remains in the roster after its loss."""
    state = state_with_allocator("a1", "a2")
    leases = make_leases()
    leases.update([report(vm("a1")), report(vm("a2"))], 100.0)
    now = 100.0 + LEASE_S * 1.5 + 0.1
    leases.update([report(vm("a2"))], now)
    assert plan_by_data_centre(state, leases, now) == {"dc-a": ("a2", "i1")}


def test_allocator_stays_if_no_other_vm_reports():
    """Guards against a new allocator on a VM that is silent as well."""
    state = state_with_allocator("a1", "a2")
    leases = make_leases()
    leases.update([report(vm("a1")), report(vm("a2"))], 100.0)
    assert plan_by_data_centre(state, leases, 110.0) == {}


@pytest.mark.parametrize("returns_first", [False, True])
def test_allocator_keeps_its_office_over_a_restart_of_all(returns_first):
    """Guards against a wait for the lease of an allocator that has ended, at
    a VM that only comes before it by name."""
    state = make_state("a1", "a2")
    accept(state, SetAllocator(Allocator("dc-a", "a2", "i1")))
    leases = make_leases(now=100.0)
    others = [] if returns_first else [vm("a1", "i2")]
    for record in (*others, vm("a2", "i2")):
        accept(state, SetVm(record))
        leases.update([report(record)], 100.5)
    now = 100.0 + LEASE_S * 1.5 + 0.1
    assert plan_by_data_centre(state, leases, now) == {"dc-a": ("a2", "i2")}
    accept(state, SetAllocator(Allocator("dc-a", "a2", "i2")))
    assert not state.allocators["dc-a"].predecessor_may_run


@pytest.fixture
def successor():
    """State in which a2 follows the allocator a1, and the leases."""
    state = state_with_allocator("a1", "a2", "b1")
    registry = attrs.evolve(vm("a1"), caller_address="", announce_address="h")
    accept(state, SetVm(registry))
    accept(state, SetAllocator(Allocator("dc-a", "a2", "i1")))
    accept(state, SetAllocator(Allocator("dc-b", "b1", "i1")))
    return state, make_leases(now=100.0)


def confirmed(state, leases, now):
    return [
        change.allocator.vm
        for change in plan_allocators(state, leases, now)
        if change.allocator.is_confirmed
    ]


def test_successor_is_confirmed_once_all_entry_vms_know_it(successor):
    """Guards against a wait for an allocator whose tokens nobody can spend,
    since no VM that might do so is lost with it."""
    state, leases = successor
    epoch = state.allocators["dc-a"].epoch
    leases.update([report(vm("a2"), revision=epoch)], 100.5)
    leases.update([report(vm("b1"), revision=epoch - 1)], 100.5)
    assert confirmed(state, leases, 100.5) == []
    leases.update([report(vm("b1"), revision=epoch)], 100.9)
    assert confirmed(state, leases, 100.9) == ["a2"]
    (change,) = plan_allocators(state, leases, 100.9)
    accept(state, change)
    assert confirmed(state, leases, 101.0) == []
    assert state.allocators["dc-a"].is_confirmed
    assert state.allocators["dc-a"].epoch == epoch


def test_new_process_of_an_entry_vm_has_to_confirm_the_successor(successor):
    """Guards the rate of an account against a VM that read an older state
    when it restarted."""
    state, leases = successor
    epoch = state.allocators["dc-a"].epoch
    for name in ("a2", "b1"):
        leases.update([report(vm(name), revision=epoch)], 100.5)
    accept(state, SetVm(vm("b1", "i2")))
    assert confirmed(state, leases, 100.6) == []


def test_vm_that_was_just_lost_delays_the_successor(successor):
    """Guards the rate of an account that is served in a data centre which is
    cut off together with its allocator."""
    state, leases = successor
    epoch = state.allocators["dc-a"].epoch
    accept(state, SetVm(vm("b1", state=VmState.GONE)))
    assert state.departed_vms == {"b1"}
    wait_s = 1.01 * (LEASE_S + Settings.limits.batch_lease_s)
    for elapsed_s in (0.0, wait_s - 0.1, wait_s + 0.1):
        now = 100.5 + elapsed_s
        leases.update([report(vm("a2"), revision=epoch)], now)
        is_due = elapsed_s > wait_s
        assert confirmed(state, leases, now) == ["a2"][:is_due], elapsed_s


def test_appointment_ends_the_confirmation_of_the_one_before(successor):
    state, leases = successor
    accept(
        state,
        SetAllocator(
            attrs.evolve(state.allocators["dc-a"], is_confirmed=True)
        ),
    )
    accept(state, SetVm(vm("a3")))
    accept(state, SetAllocator(Allocator("dc-a", "a3", "i1", is_confirmed=1)))
    assert not state.allocators["dc-a"].is_confirmed


@pytest.mark.parametrize("incarnation", ["i1", "i2"])
def test_vm_that_is_back_no_longer_counts_as_departed(successor, incarnation):
    """Guards against a successor that waits for a process that has ended, or
    does not wait for one that was cut off for a while."""
    state, leases = successor
    epoch = state.allocators["dc-a"].epoch
    accept(state, SetVm(vm("b1", state=VmState.GONE)))
    leases.update([report(vm("a2"), revision=epoch)], 100.5)
    accept(state, SetVm(vm("b1", incarnation)))
    assert confirmed(state, leases, 100.5) == []
    leases.update([report(vm("b1", incarnation), revision=epoch)], 100.6)
    assert confirmed(state, leases, 100.6) == ["a2"]


def test_departed_vm_is_forgotten_when_it_cannot_run_any_longer():
    state = make_state("a1", "b1")
    accept(state, SetVm(vm("b1", state=VmState.GONE)))
    assert FleetState.from_snapshot(state.snapshot()) == state
    accept(state, SetVm(Vm("b1", state=VmState.GONE)))
    assert state.departed_vms == set()
