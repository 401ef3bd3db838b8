"""Entry VMs in a look-up response."""

from types import SimpleNamespace

from medlarhollow.configuration import FleetState
from medlarhollow.membership import list_entry_vms
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmState


def _vm(name, region, data_centre, address="127.0.0.1:1", **more):
    return Vm(name, "", region, data_centre, address, **more)


def test_only_vms_that_accept_callers_are_listed():
    """Guards against callers sent to a control replica or a draining
    VM."""
    vms = (
        _vm("control-1", "north", "north-a", ""),
        _vm("vm-1", "north", "north-a", state=VmState.DRAINING),
        _vm("vm-2", "south", "south-a"),
        _vm("vm-3", "north", "north-b"),
        _vm("vm-4", "north", "north-a"),
    )
    state = FleetState(vms={vm.name: vm for vm in vms})
    settings = SimpleNamespace(
        vm=SimpleNamespace(region="north", data_centre="north-a"),
        entry=SimpleNamespace(lookup_count=3),
    )
    names = [vm.name for vm in list_entry_vms(state, settings)]
    assert names == ["vm-4", "vm-3", "vm-2"]
