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
    if change.vm.state is VmState.GONE:
        state.vms.pop(change.vm.name, None)
    else:
        state.vms[change.vm.name] = change.vm
    return Ok(None)
