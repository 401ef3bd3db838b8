"""Helpers that build the state of a fleet for tests of leader tasks."""

from medlarhollow.configuration import apply
from medlarhollow.configuration import FleetState
from medlarhollow.control.leases import LeaseMonitor
from medlarhollow.messages.records import Account
from medlarhollow.messages.records import PutAccount
from medlarhollow.messages.records import SetVm
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.settings.generated import BackendsSettings
from medlarhollow.settings.generated import ControlSettings
from medlarhollow.settings.generated import LimitsSettings

LEASE_S = 3.0


class Settings:
    """The sections of the settings that the leader tasks read."""

    backends = BackendsSettings()
    control = ControlSettings(replicas=())
    limits = LimitsSettings(allocator_lease_s=LEASE_S)


def vm(name, incarnation="i1", **fields):
    """Return a VM; its data centre is the first letter of its name."""
    fields.setdefault("caller_address", "192.0.2.1:80")
    return Vm(name, incarnation, "n", f"dc-{name[0]}", **fields)


def report(record, share_epoch=0, age_s=0.0, revision=0):
    """Return a report of the given VM."""
    return VmReport(
        vm=record,
        revision=revision,
        share_epoch=share_epoch,
        report_age_s=age_s,
    )


def accept(state, body, now=1000.0):
    """Apply a change and assert that it was accepted."""
    result = apply(body, state, now)
    assert result.is_ok(), (body, result.err_value.detail)
    state.revision += 1


def make_state(*names):
    """Return a state with one account and the named VMs."""
    state = FleetState(cluster="test")
    accept(state, PutAccount(Account("crew", 100.0, 50.0)))
    for name in names:
        accept(state, SetVm(vm(name)))
    return state


def make_leases(now=0.0):
    """Return a monitor of a leader elected at `now`."""
    return LeaseMonitor(Settings, now)
