"""Apply changes to the roster of VMs."""

from result import Ok

from ..errors import fail
from ..messages.records import ErrorKind
from ..messages.records import SetVm
from ..messages.records import VmState
from .apply import apply

__all__ = []


@apply.register
def _set_vm(change: SetVm, state, now):
    if change.vm is None or not change.vm.name:
        return fail(ErrorKind.BAD_REQUEST, "a VM needs a name")
    state.roster_changes += 1
    name = change.vm.name
    if change.vm.state is not VmState.GONE:
        state.vms[name] = change.vm
        state.departed_vms.discard(name)
        return Ok(None)
    removed = state.vms.pop(name, None)
    if removed is None:
        # Control removes a VM once more when it cannot run any longer.
        state.departed_vms.discard(name)
    elif removed.caller_address:
        state.departed_vms.add(name)
    return Ok(None)
