"""A fleet as its control leader sees it, for tests."""

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.control.leases import LeaseMonitor
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.generated import ControlSettings
from medlarhollow.settings.generated import LimitsSettings

LEASE_S = 3.0


class Settings:
    """The sections that the duties read."""

    control = ControlSettings(replicas=())
    limits = LimitsSettings(allocator_lease_s=LEASE_S)


def vm(name, incarnation="i1", **more):
    """Return a VM; its data centre is the first letter of its name."""
    more.setdefault("caller_address", "192.0.2.1:80")
    return Vm(name, incarnation, "n", f"dc-{name[0]}", **more)


def report(record, share_epoch=0, age_s=0.0):
    """Return a report of a VM."""
    return VmReport(vm=record, share_epoch=share_epoch, report_age_s=age_s)


def accept(state, body, now=1000.0):
    """Apply a change that must be accepted."""
    result = apply(body, state, now)
    assert result.is_ok(), (body, result.err_value.detail)
    state.revision += 1


def make_state(*names):
    """Return a state with an account and the named VMs."""
    state = FleetState(cluster="test")
    accept(state, PutAccount(Account("crew", 100.0, 50.0)))
    for name in names:
        accept(state, SetVm(vm(name)))
    return state


def make_leases(now=0.0):
    """Return a watch that begins at `now`."""
    return LeaseMonitor(Settings, now)
