"""At most one VM may grant the tokens of a data centre at any time."""

import attrs
import pytest

from medlarhollow.control.allocators import plan_allocators
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import SetAllocator
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import VmState

from .fleet import accept
from .fleet import LEASE_S
from .fleet import make_leases
from .fleet import make_state
from .fleet import report
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
