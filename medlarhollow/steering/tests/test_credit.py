"""Credit for requests that go to another data centre."""

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
from medlarhollow.steering.credit import CreditLedger
from medlarhollow.steering.credit import HeldCredit
from medlarhollow.steering.spill import Spill

LEASE_S = 2.0
NONE = frozenset()


def ask(slots, vm="far", region="south"):
    return CreditRequest(service="plots", slots=slots, vm=vm, region=region)


def make_spill(reserve=None, links=(), own="near"):
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
    return Spill(make_settings(own), FakeStateCache(state), None)


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
def test_headroom_is_measured_and_shared(reserve, in_flight, vms, granted):
    """Guards the granting data centre: slots minus requests in flight minus
    the reserve, for each of its VMs one part."""
    spill = make_spill(reserve)
    response = grant(spill, ask(100), in_flight=in_flight, vms=vms)
    assert response.slots == granted
    assert (response.failure is None) is (granted > 0)


def test_credit_outstanding_is_not_granted_again():
    """Guards against two VMs that get the same headroom."""
    spill = make_spill()
    assert grant(spill, ask(12)).slots == 12
    assert grant(spill, ask(12, vm="far-2")).slots == 3
    assert grant(spill, ask(12, vm="far-2"), now=LEASE_S - 0.1).slots == 3
    assert grant(spill, ask(12, vm="far-2"), now=LEASE_S + 0.1).slots == 12


def test_a_lost_answer_does_not_double_the_credit():
    """Guards renewal: a VM that asks again replaces its credit."""
    spill = make_spill()
    assert grant(spill, ask(10)).slots == 10
    assert grant(spill, ask(10), now=1.0).slots == 10
    assert grant(spill, ask(10, vm="far-2"), now=1.0).slots == 5


@pytest.mark.parametrize("vm", ["near", "unknown"])
def test_only_vms_of_other_data_centres_get_credit(vm):
    """Guards against a VM that spills into its own data centre."""
    failure = grant(make_spill(), ask(5, vm=vm)).failure
    assert failure.kind is ErrorKind.FORBIDDEN


def test_the_link_between_the_regions_limits_credit():
    """Guards the link: 4 Mbit/s over 2 VMs are 250 kB/s, so with 0.1 s and
    5 kB a request 5 of them are in flight."""
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


def test_vms_are_asked_by_the_weights_of_the_preset():
    """Guards the order in which headroom is looked for."""
    spill = make_spill()
    assert [vm.name for vm in spill._targets()] == ["other", "far"]
    state = spill._copy.state
    weights = (
        RegionWeight("north", "north", 0.2),
        RegionWeight("north", "south", 0.8),
    )
    state.presets["shift"] = Preset(name="shift", weights=weights)
    state.shift = Shift(preset="shift", fraction=1.0)
    assert [vm.data_centre for vm in spill._targets()] == [
        "south-a",
        "north-b",
    ]


def make_vm(name="far"):
    return Vm(name=name, region="south", data_centre="south-a")


def respond(slots, credit_id="c"):
    return CreditResponse(slots=slots, lease_s=LEASE_S, credit_id=credit_id)


def test_credit_is_spent_only_until_it_lapses_after_the_request():
    """Guards against an answer that was late and against credit spent after
    its lease."""
    held_credit = HeldCredit()
    held_credit.put("plots", make_vm(), respond(3), requested_at=0.0)
    assert held_credit.take("plots", NONE, 1.9) is not None
    assert held_credit.take("plots", NONE, 1.99) is None
    late = HeldCredit()
    late.put("plots", make_vm(), respond(3), requested_at=-LEASE_S)
    assert late.take("plots", NONE, 0.0) is None


def test_no_more_requests_than_credit_are_elsewhere():
    """Guards the granting side, across a renewal too."""
    held_credit = HeldCredit()
    held_credit.put("plots", make_vm(), respond(2), 0.0)
    assert held_credit.take("plots", NONE, 0.1) is not None
    assert held_credit.take("plots", NONE, 0.1) is not None
    assert held_credit.take("plots", NONE, 0.1) is None
    held_credit.put("plots", make_vm(), respond(3), 1.0)
    assert held_credit.take("plots", NONE, 1.1) is not None
    assert held_credit.take("plots", NONE, 1.1) is None
    held_credit.give_back("plots", "far")
    assert held_credit.take("plots", NONE, 1.1) is not None
    assert held_credit.take("plots", frozenset({"far"}), 1.1) is None
    assert held_credit.take("other", NONE, 1.1) is None


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
def test_what_holders_may_use_never_exceeds_the_headroom(steps):
    """Guards invariant 2 for any order of requests and lost answers: the
    credit that is valid at the holders fits the headroom."""
    ledger = CreditLedger(make_settings("near"))
    purses = {name: HeldCredit() for name in "abc"}
    now = 0.0
    for name, seconds, slots, lost in steps:
        now += seconds
        request = ask(slots, vm=name)
        response = ledger.grant(request, 20.0, 15, now)
        if not lost:
            purses[name].put("plots", make_vm(), response, now)
        usable = sum(
            held_credit.free("plots", now) for held_credit in purses.values()
        )
        assert usable <= 15
        assert ledger.outstanding("plots", now) <= 15
