"""Order and selection of upstreams."""

from types import SimpleNamespace

import attrs
import pytest

from medlarhollow.configuration import FleetState
from medlarhollow.distribution.follower import Follower
from medlarhollow.distribution.upstreams import is_usable
from medlarhollow.distribution.upstreams import list_upstreams
from medlarhollow.distribution.upstreams import next_failure
from medlarhollow.distribution.upstreams import order_upstreams
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Failure
from medlarhollow.messages.records import SyncResponse
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmState
from medlarhollow.settings.load import parse_settings


def make_settings(roles="entry"):
    return parse_settings(
        "[vm]\nname = m\ncluster = test\nregion = r\ndata_centre = d1\n"
        f"roles = {roles}\n[peer]\nlisten = h:5\nsecret_file = s\n"
        "data_centre_peers = h:5, h:6\nremote_peers = h:7\n"
        "[admin]\ntokens_file = t\n"
        "[control]\nreplicas = h:1, h:2, h:5\ndata_dir = d\n",
        "test.ini",
    )


def vm(name, data_centre, address, state=VmState.SERVING):
    return Vm(
        name=name,
        data_centre=data_centre,
        peer_address=address,
        state=state,
    )


STATE = FleetState(
    vms={
        entry.name: entry
        for entry in (
            vm("n", "d1", "h:14"),
            vm("m", "d1", "h:5"),
            vm("c", "d1", "h:12", VmState.DRAINING),
            vm("b", "d1", "h:11"),
            vm("a", "d1", "h:10", VmState.GONE),
            vm("z", "d2", "h:20"),
            vm("y", "d2", "h:21", VmState.DRAINING),
        )
    }
)


def test_entry_vm_prefers_earlier_vms_of_its_data_centre():
    """Guards against loops and against several relays of a data centre."""
    assert list_upstreams(make_settings(), STATE) == [
        *("h:11", "h:12"),  # earlier names in the data centre
        *("h:1", "h:2"),  # control replicas
        "h:6",
        "h:7",
        "h:20",
    ]


def test_stale_vms_of_a_large_data_centre_do_not_delay_failover():
    """Guards the time limit of a configuration: if 24 VMs lost their relay,
    they would all be tried before the control replicas."""
    names = [f"front-{number:02}" for number in range(24)]
    state = FleetState(
        vms={name: vm(name, "d1", f"{name}:1") for name in names}
    )
    state.vms["m"] = vm("m", "d1", "h:5")
    upstreams = list_upstreams(make_settings(), state)
    assert upstreams.index("h:1") <= 2
    assert set(upstreams) >= {f"{name}:1" for name in names}


@pytest.mark.parametrize(
    ("leader", "expected"),
    [
        ("", ["h:1", "h:2"]),
        ("h:2", ["h:2", "h:1"]),
        ("h:5", ["h:1", "h:2"]),
        ("h:9", ["h:9", "h:1", "h:2"]),
    ],
)
def test_control_replica_prefers_the_leader(leader, expected):
    """Guards against control replicas that follow one another."""
    settings = make_settings("control")
    assert list_upstreams(settings, STATE, leader) == expected


@pytest.mark.parametrize("roles", ["entry", "control"])
@pytest.mark.parametrize(
    ("present", "expected"),
    [
        ((), ["p:1", "h:1", "h:2"]),
        (("h:2",), ["h:2", "p:1", "h:1"]),
        (("h:1", "h:2"), ["h:1", "h:2", "p:1"]),
    ],
)
def test_replicas_of_the_roster_are_asked_first(roles, present, expected):
    """Guards against a VM whose settings name replicas that are gone and
    that asks these, or all entry VMs, before their successors."""
    state = FleetState(vms=dict(STATE.vms))
    replicas = [(address, address, VmState.SERVING) for address in present]
    replicas += [("p", "p:1", VmState.SERVING), ("q", "q:1", VmState.GONE)]
    for name, address, condition in replicas:
        entry = vm(name, "d2", address, condition)
        state.vms[name] = attrs.evolve(entry, control=True)
    upstreams = list_upstreams(make_settings(roles), state)
    start = upstreams.index(expected[0])
    assert upstreams[start : start + 3] == expected
    # Only siblings of the data centre go before them.
    assert len(upstreams[:start]) <= 2
    assert "q:1" not in upstreams


@pytest.mark.parametrize(
    ("failures", "expected"),
    [
        ({}, "a"),
        ({"a": 95.0}, "b"),
        ({"a": 89.0}, "a"),
        ({"a": 95.0, "b": 99.0}, "c"),
        ({"a": 97.0, "b": 95.0, "c": 96.0}, "b"),
        ({"b": 95.0}, "a"),
    ],
)
def test_first_upstream_of_a_search(failures, expected):
    """Guards against a VM that stays on a failed upstream, or that never
    returns to a preferred one."""
    failures = {
        address: next_failure(None, False, failed_at)
        for address, failed_at in failures.items()
    }
    ordered = order_upstreams(["a", "b", "c"], failures, 100.0)
    assert ordered[0] == expected
    assert sorted(ordered) == ["a", "b", "c"]


def test_search_without_addresses():
    """Guards against a crash in a fleet of one VM."""
    assert order_upstreams([], {}, 1.0) == []


OTHERS = [f"front-{number:02}" for number in range(9)]


def list_tried_upstreams(duration_s):
    """Return the upstreams that are tried, each failing after 0.5 s."""
    settings = make_settings()
    state = FleetState(
        vms={name: vm(name, "d2", f"{name}:1") for name in OTHERS}
    )
    failures = {}
    tried = []
    for step in range(int(duration_s / 0.5)):
        now = step * 0.5
        address = order_upstreams(
            list_upstreams(settings, state), failures, now
        )[0]
        tried.append(address)
        failures[address] = next_failure(
            failures.get(address),
            address in settings.control.replicas,
            now + 0.5,
        )
    return tried


def test_control_replicas_are_retried_soon_after_an_election():
    """Guards the time limit of a configuration: all VMs skipped each replica
    without a proof for 10 s."""
    tried = list_tried_upstreams(3.0)
    assert tried[:2] == ["h:1", "h:2"]
    assert {"h:1", "h:2"} & set(tried[2:])


def test_vm_without_proof_from_control_tries_other_vms():
    """Guards a data centre that is cut off only from the control replicas."""
    tried = list_tried_upstreams(12.0)
    assert set(tried) >= {f"{name}:1" for name in OTHERS}


@pytest.mark.parametrize(
    ("cluster", "age_s", "failure", "expected"),
    [
        ("test", 0.0, None, True),
        ("test", 1.9, None, True),
        ("test", 2.1, None, False),
        ("test", -1.0, None, False),
        ("other", 0.0, None, False),
        ("test", 0.0, Failure(ErrorKind.WRONG_CLUSTER), False),
    ],
)
def test_is_usable(cluster, age_s, failure, expected):
    """Guards against a VM that follows an upstream without a fresh proof."""
    response = SyncResponse(
        cluster=cluster, freshness_age_s=age_s, failure=failure
    )
    assert is_usable(response, "test") is expected


@pytest.mark.parametrize(
    ("leader", "failed_at", "expected"),
    [
        ("", None, False),
        ("h:1", None, False),
        ("h:2", None, True),
        ("h:9", None, True),
        ("h:2", 99.9, False),
        ("h:2", 90.0, True),
    ],
)
def test_replica_leaves_another_one_for_the_leader(
    leader, failed_at, expected
):
    """Guards the reports of control VMs against the delay of a chain of
    replicas, and a replica that cannot reach the leader."""
    settings = make_settings("control")
    replica = SimpleNamespace(leader_address=leader)
    cache = SimpleNamespace(state=STATE)
    follower = Follower(cache, None, None, None, settings, replica)
    if failed_at is not None:
        follower.failures[leader] = next_failure(None, True, failed_at)
    assert follower.should_follow_leader("h:1", 100.0) is expected


def test_entry_vm_does_not_leave_its_upstream_for_the_leader():
    """Guards against a stream to the leader from every VM."""
    cache = SimpleNamespace(state=STATE)
    follower = Follower(cache, None, None, None, make_settings(), None)
    assert not follower.should_follow_leader("h:1", 100.0)
