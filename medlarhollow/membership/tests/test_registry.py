"""Announcements received in any order by any VM of the fleet."""

import types

import attrs
import pytest

from medlarhollow.entry.registry import confirm_leave
from medlarhollow.entry.registry import register_server
from medlarhollow.limits.tests.support import FakeStateCache
from medlarhollow.limits.tests.support import make_settings
from medlarhollow.limits.tests.support import make_state
from medlarhollow.membership import apply_announcement
from medlarhollow.membership import check_open_announcement
from medlarhollow.membership import Directory
from medlarhollow.membership import list_nearest_entry_vms
from medlarhollow.membership import LocalLoad
from medlarhollow.membership.updates import OutgoingUpdates
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import ErrorKind
from medlarhollow.messages.records import Service
from medlarhollow.messages.records import Vm

SERVER = BackendServer(
    server_id="s1",
    service="plots",
    version="1",
    address="127.0.0.1:9",
    slots=5,
    sequence=4,
    started_at_ms=1000,
    data_centre="north-a",
    region="north",
)


@pytest.fixture
def directory():
    return Directory(make_settings("core-1"))


def names(directory, now):
    return [
        server.server_id for server in directory.servers("plots", "1", now)
    ]


def test_late_announcement_does_not_restore_a_leaving_server(directory):
    """Guards invariant 11: a server that left receives no new requests."""
    apply_announcement(directory, SERVER, 0.0)
    leaving = attrs.evolve(SERVER, sequence=6, leaving=True)
    apply_announcement(directory, leaving, 1.0)
    late = attrs.evolve(SERVER, sequence=5)
    assert apply_announcement(directory, late, 1.1).is_ok()
    assert names(directory, 1.1) == []


def test_server_marked_as_leaving_is_not_restored(directory):
    apply_announcement(directory, SERVER, 0.0)
    assert directory.mark_leaving("s1", 0.5)
    apply_announcement(directory, attrs.evolve(SERVER, sequence=9), 1.0)
    assert names(directory, 1.0) == []
    assert not directory.mark_leaving("unknown", 1.0)


def test_restarted_server_restarts_its_sequence(directory):
    apply_announcement(directory, attrs.evolve(SERVER, leaving=True), 0.0)
    restarted = attrs.evolve(SERVER, sequence=1, started_at_ms=2000)
    apply_announcement(directory, restarted, 0.5)
    assert names(directory, 0.5) == ["s1"]
    apply_announcement(directory, attrs.evolve(SERVER, sequence=99), 0.6)
    assert directory.find("s1").started_at_ms == 2000


def test_address_belongs_to_the_latest_process(directory):
    """Guards requests against an address that another process now uses."""
    apply_announcement(directory, SERVER, 0.0)
    other = attrs.evolve(SERVER, server_id="s2", started_at_ms=2000)
    apply_announcement(directory, other, 0.1)
    assert names(directory, 0.1) == ["s2"]
    late = attrs.evolve(SERVER, sequence=5)
    apply_announcement(directory, late, 0.2)
    assert names(directory, 0.2) == ["s2"]


@pytest.mark.parametrize(
    "conflict", [{"service": "orders"}, {"address": "127.0.0.1:10"}]
)
def test_conflicting_announcement_changes_nothing(directory, conflict):
    apply_announcement(directory, SERVER, 0.0)
    conflicting = attrs.evolve(SERVER, sequence=7, **conflict)
    result = apply_announcement(directory, conflicting, 0.1)
    assert result.err_value.kind is ErrorKind.CONFLICT
    assert names(directory, 0.1) == ["s1"]
    assert directory.find("s1").address == SERVER.address


def test_unknown_service_is_rejected_once_services_exist():
    state = make_state()
    assert check_open_announcement(SERVER, state).is_ok()
    state.services["orders"] = Service("orders")
    failure = check_open_announcement(SERVER, state).err_value
    assert failure.kind is ErrorKind.BAD_REQUEST


def test_announcement_order_holds_across_registries():
    """Guards invariant 11 when a server's announcements reach two VMs and
    their updates arrive out of order."""
    first, second = (Directory(make_settings(name)) for name in "ab")
    entry = Directory(make_settings("entry"))
    apply_announcement(first, SERVER, 0.0)
    leaving = attrs.evolve(SERVER, sequence=5, leaving=True)
    apply_announcement(second, leaving, 0.1)
    for name, registry in (("b", second), ("a", first)):
        vm = Vm(name=name, incarnation="1", data_centre="north-a")
        update = OutgoingUpdates().next_update(vm, registry, LocalLoad(), 0.2)
        entry.merge(update, 0.2)
    assert names(entry, 0.2) == []


def test_servers_are_counted_by_version(directory):
    apply_announcement(directory, SERVER, 0.0)
    assert directory.count_versions("plots", 0.0) == {"1": 1}
    assert directory.count_versions("plots", 99.0) == {}


@pytest.mark.parametrize(
    ("dead", "expected"),
    [
        ((), ["n1", "n2"]),
        (("n1",), ["n2", "n3"]),
        (("n1", "n2", "n3"), ["s1"]),
    ],
)
def test_nearest_entry_vms_are_listed(dead, expected):
    """Guards callers of a data centre with one live VM."""
    state = make_state(
        vms=[
            ("n1", "north", "north-a", "127.0.0.1:1"),
            ("n2", "north", "north-a", "127.0.0.1:2"),
            ("n3", "north", "north-b", "127.0.0.1:3"),
            ("s1", "south", "south-a", "127.0.0.1:4"),
        ]
    )
    listed = list_nearest_entry_vms(
        state, "north", "north-a", lambda vm: vm.name not in dead
    )
    assert [vm.name for vm in listed] == expected


@pytest.mark.parametrize("name", ["server_id", "version", "data_centre"])
def test_announcement_without_an_encoding_is_rejected(name):
    """Guards the streams to the other VMs, whichever listener accepted it."""
    odd = attrs.evolve(SERVER, **{name: "1\ud800"})
    result = check_open_announcement(odd, make_state())
    assert result.err_value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("is_shared", [False, True])
async def test_registry_of_a_cut_data_centre_lets_its_servers_leave(
    is_shared,
):
    """Guards servers that leave in a data centre that is cut off: without an
    acknowledgement they must not receive requests of the VMs there either."""
    settings = make_settings(
        "core-1", backends__open_announcements="yes", backends__scope="fleet"
    )
    vm = types.SimpleNamespace(
        settings=settings,
        directory=Directory(settings),
        state_cache=FakeStateCache(make_state()),
    )

    async def share(now):
        # What is confirmed must contain the leave.
        assert vm.directory.find("s1").leaving
        return is_shared

    vm.share_directory = share
    vm.state_cache.proof_at = 0.0
    assert register_server(vm, SERVER, 0.0).is_ok()
    leaving = attrs.evolve(SERVER, sequence=5, leaving=True)
    assert register_server(vm, leaving, 1.0).is_ok()
    result = await confirm_leave(vm, 1.0)
    assert result.is_ok() == is_shared
    if not is_shared:
        assert result.err_value.kind is ErrorKind.STALE_AUTHORITY
    assert names(vm.directory, 1.0) == []
