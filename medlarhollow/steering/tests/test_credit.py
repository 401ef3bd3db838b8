"""Grant, use and expiry of credit between data centres."""

import hypothesis
from hypothesis import strategies as st
import pytest

from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.messages.records import CreditRequest
from medlarhollow.messages.records import CreditResponse
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Link
from medlarhollow.messages.records import Preset
from medlarhollow.messages.records import RegionWeight
from medlarhollow.messages.records import Shift
from medlarhollow.messages.records import Vm
from medlarhollow.steering.regions.credit import CreditLedger
from medlarhollow.steering.regions.credit import RemoteCredit
from medlarhollow.steering.regions.spill import SpillCoordinator

LEASE_S = 2.0
NO_EXCLUSIONS = frozenset()


def make_request(slots, vm="far", region="south"):
    return CreditRequest(service="plots", slots=slots, vm=vm, region=region)


def make_spill(reserve=None, links=(), vm="near"):
    state = make_state(
        vms=[
            ("near", "north", "north-a", "1"),
            ("other", "north", "north-b", "2"),
            ("far", "south", "south-a", "3"),
            ("far-2", "south", "south-a", "4"),
        ]
    )
    if reserve is not None:
        state.presets["day"] = Preset(name="day", reserve=reserve)
        state.shift = Shift(preset="day", fraction=1.0)
    for link in links:
        state.links[(link.from_region, link.to_region)] = link
    return SpillCoordinator(make_settings(vm), FakeStateCache(state), None)


def grant(spill, request, now=0.0, slots=40, in_flight=10, vms=2):
    return spill.grant(request, slots, in_flight, vms, 0.1, now)


@pytest.mark.parametrize(
    ("reserve", "in_flight", "vms", "granted"),
    [
        (None, 10, 2, 15),
        (0.25, 10, 2, 10),
        (None, 10, 3, 10),
        (0.5, 20, 2, 0),
        (None, 45, 1, 0),
    ],
)
def test_headroom_is_divided_among_vms(reserve, in_flight, vms, granted):
    """Each VM grants its share of slots - reserve - requests in flight."""
    spill = make_spill(reserve)
    response = grant(spill, make_request(100), in_flight=in_flight, vms=vms)
    assert response.slots == granted
    assert (response.failure is None) is (granted > 0)


def test_outstanding_credit_is_not_granted_again():
    """Guards against granting the same headroom to two VMs."""
    spill = make_spill()
    assert grant(spill, make_request(12)).slots == 12
    assert grant(spill, make_request(12, vm="far-2")).slots == 3
    assert (
        grant(spill, make_request(12, vm="far-2"), now=LEASE_S - 0.1).slots
        == 3
    )
    assert (
        grant(spill, make_request(12, vm="far-2"), now=LEASE_S + 0.1).slots
        == 12
    )


def test_lost_response_does_not_double_the_credit():
    """A repeated request of a VM replaces its credit."""
    spill = make_spill()
    assert grant(spill, make_request(10)).slots == 10
    assert grant(spill, make_request(10), now=1.0).slots == 10
    assert grant(spill, make_request(10, vm="far-2"), now=1.0).slots == 5


@pytest.mark.parametrize("vm", ["near", "unknown"])
def test_only_vms_of_other_data_centres_get_credit(vm):
    """Guards against spillover within a data centre."""
    failure = grant(make_spill(), make_request(5, vm=vm)).failure
    assert failure.kind is ErrorKind.FORBIDDEN


def test_link_between_regions_limits_credit():
    """4 Mbit/s shared by 2 VMs is 250 kB/s each. With 0.1 s and 5 kB per
    request, that supports 5 requests in flight."""
    link = Link("south", "north", 4.0)
    spill = make_spill(links=[link])
    request = CreditRequest(
        service="plots", slots=50, vm="far", bytes_per_request=5000.0
    )
    assert grant(spill, request).slots == 5
    within = CreditRequest(
        service="plots", slots=8, vm="other", bytes_per_request=5000.0
    )
    assert grant(spill, within).slots == 8


def test_targets_are_ordered_by_the_weights_of_the_preset():
    """Data centres with a higher weight in the preset come first."""
    spill = make_spill()
    assert [vm.name for vm in spill._list_targets()] == ["other", "far"]
    state = spill._state_cache.state
    weights = (
        RegionWeight("north", "north", 0.2),
        RegionWeight("north", "south", 0.8),
    )
    state.presets["shift"] = Preset(name="shift", weights=weights)
    state.shift = Shift(preset="shift", fraction=1.0)
    assert [vm.data_centre for vm in spill._list_targets()] == [
        "south-a",
        "north-b",
    ]


def make_vm(name="far"):
    return Vm(name=name, region="south", data_centre="south-a")


def make_response(slots, credit_id="c"):
    return CreditResponse(slots=slots, lease_s=LEASE_S, credit_id=credit_id)


def test_credit_expires_a_lease_after_the_request():
    """Guards against spending credit after its lease, also when a delayed
    response arrives after the lease."""
    remote_credit = RemoteCredit()
    remote_credit.apply_response(
        "plots", make_vm(), make_response(3), requested_at=0.0
    )
    assert remote_credit.spend("plots", NO_EXCLUSIONS, 1.9) is not None
    assert remote_credit.spend("plots", NO_EXCLUSIONS, 1.99) is None
    late = RemoteCredit()
    late.apply_response(
        "plots", make_vm(), make_response(3), requested_at=-LEASE_S
    )
    assert late.spend("plots", NO_EXCLUSIONS, 0.0) is None


def test_remote_requests_never_exceed_the_credit():
    """Requests in flight still count after a renewal of the credit."""
    remote_credit = RemoteCredit()
    remote_credit.apply_response("plots", make_vm(), make_response(2), 0.0)
    assert remote_credit.spend("plots", NO_EXCLUSIONS, 0.1) is not None
    assert remote_credit.spend("plots", NO_EXCLUSIONS, 0.1) is not None
    assert remote_credit.spend("plots", NO_EXCLUSIONS, 0.1) is None
    remote_credit.apply_response("plots", make_vm(), make_response(3), 1.0)
    assert remote_credit.spend("plots", NO_EXCLUSIONS, 1.1) is not None
    assert remote_credit.spend("plots", NO_EXCLUSIONS, 1.1) is None
    remote_credit.release("plots", "far")
    assert remote_credit.spend("plots", NO_EXCLUSIONS, 1.1) is not None
    assert remote_credit.spend("plots", frozenset({"far"}), 1.1) is None
    assert remote_credit.spend("other", NO_EXCLUSIONS, 1.1) is None


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.sampled_from([0.0, 0.3, 1.1, 2.0]),
            st.integers(1, 30),
            st.booleans(),
        ),
        max_size=40,
    )
)
@hypothesis.settings(deadline=None)
def test_credit_of_all_holders_never_exceeds_the_headroom(steps):
    """Invariant 2, for any order of requests and lost responses: the valid
    credit of all holders fits in the headroom."""
    ledger = CreditLedger(make_settings("near"))
    holders = {name: RemoteCredit() for name in "abc"}
    now = 0.0
    for name, seconds, slots, lost in steps:
        now += seconds
        request = make_request(slots, vm=name)
        response = ledger.grant(request, 20.0, 15, now)
        if not lost:
            holders[name].apply_response("plots", make_vm(), response, now)
        usable = sum(
            remote_credit.available("plots", now)
            for remote_credit in holders.values()
        )
        assert usable <= 15
        assert ledger.outstanding("plots", now) <= 15
