"""Status of entry VMs and data centres."""

import attrs
import pytest

from medlarhollow.admin.status import describe_data_centres
from medlarhollow.admin.status import describe_vms
from medlarhollow.configuration import FleetState
from medlarhollow.messages.records import AcquireUsageHolder
from medlarhollow.messages.records import Allocator
from medlarhollow.messages.records import ConfirmUsage
from medlarhollow.messages.records import SettleUsage
from medlarhollow.messages.records import UsageWindow
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmReport
from medlarhollow.messages.records import VmState

VM = Vm("vm-1", "", "north", "north-a", "127.0.0.1:1")


@pytest.mark.parametrize(
    ("report", "changed_s_ago", "overdue"),
    [
        (VmReport(VM, 7, 0.1, report_age_s=0.1), 100.0, False),
        (VmReport(VM, 6, 0.1, report_age_s=0.1), 1.0, False),
        (VmReport(VM, 6, 0.1, report_age_s=0.1), 5.0, True),
        (VmReport(VM, 7, 4.5, report_age_s=0.1), 100.0, True),
        (VmReport(VM, 7, 0.1, report_age_s=4.5), 100.0, True),
        (None, 100.0, True),
    ],
    ids=["current", "behind", "late", "no-proof", "silent", "unknown"],
)
def test_overdue_vm_is_reported(report, changed_s_ago, overdue):
    """Guards against a VM that misses changes unnoticed."""
    state = FleetState(revision=7, time_s=1000.0, vms={"vm-1": VM})
    reports = (report,) if report else ()
    (vm,) = describe_vms(state, reports, 1000.0 + changed_s_ago)
    assert vm.overdue is overdue


def test_data_centres_are_counted():
    """Guards against draining VMs or control replicas counted as serving."""
    state = FleetState(
        vms={
            "vm-1": VM,
            "vm-2": attrs.evolve(VM, name="vm-2", state=VmState.DRAINING),
            "vm-3": Vm("vm-3", "", "south", "south-a", "127.0.0.1:3"),
            "control-1": Vm("control-1", "", "south", "south-a"),
        },
        allocators={"north-a": Allocator("north-a", "vm-1")},
    )
    vms = describe_vms(state, (), 0.0)
    north, south = describe_data_centres(state, vms)
    assert (north.serving, north.draining, north.allocator) == (1, 1, "vm-1")
    assert (south.serving, south.allocator) == (1, "")


async def test_holder_of_the_usage_reports_is_shown(api, replica):
    """Guards against a holder whose progress operators cannot see."""
    status, response = await api.send("GET", "/v1/status")
    assert (status, response["usage"]) == (200, None)
    for body in (
        AcquireUsageHolder("control-2", "i1"),
        SettleUsage(UsageWindow(7), 1),
        SettleUsage(UsageWindow(8), 1),
        ConfirmUsage(7, 1),
    ):
        assert replica.usage.execute(body).is_ok()
    status, response = await api.send("GET", "/v1/status")
    assert response["usage"] == {
        "holder": "control-2",
        "token": 1,
        "settled": 8,
        "confirmed": 7,
        "pending": 1,
    }


async def test_status_is_served(api, replica):
    """Guards against values that JSON cannot represent, such as infinity."""
    replica.state.vms["vm-1"] = VM
    status, response = await api.send("GET", "/v1/status")
    assert status == 200
    assert response["vms"][0]["report_age_s"] is None
    assert response["answered_by"] == "control-1"
