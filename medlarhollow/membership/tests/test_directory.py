"""Leases in the directory and the ordering of updates between VMs."""

import attrs
import hypothesis
from hypothesis import strategies as st
import pytest

from medlarhollow.limits.tests.support import make_settings
from medlarhollow.membership import Directory
from medlarhollow.membership import LocalLoad
from medlarhollow.membership.updates import OutgoingUpdates
from medlarhollow.messages.records import BackendServer
from medlarhollow.messages.records import Vm
from medlarhollow.messages.records import VmState

LEASE_S = 3.0


def make_server(**more):
    return BackendServer(
        **{
            "server_id": "s1",
            "service": "plots",
            "version": "1",
            "address": "127.0.0.1:9",
            "slots": 5,
            **more,
        }
    )


class Member:
    """A VM with its directory and its outgoing streams."""

    def __init__(self, name, incarnation="1"):
        self.vm = Vm(name=name, incarnation=incarnation, data_centre="north-a")
        self.directory = Directory(make_settings(name))
        self.updates = {}
        self.load = LocalLoad()

    def update_for(self, other, now):
        updates = self.updates.setdefault(other, OutgoingUpdates())
        update = updates.next_update(self.vm, self.directory, self.load, now)
        return attrs.evolve(update, vm=self.vm)

    def send_update(self, other, now):
        update = self.update_for(other.vm.name, now)
        other.directory.merge(update, now)
        return update

    def usable(self, now):
        return [
            server.server_id
            for server in self.directory.servers("plots", "1", now)
        ]


@pytest.fixture
def pair():
    return Member("a"), Member("b")


def test_a_server_is_usable_at_both_until_its_lease_ends(pair):
    """Guards against requests routed to a server that died."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    a.send_update(b, 0.5)
    for member in pair:
        assert member.usable(LEASE_S - 0.1) == ["s1"]
        assert member.usable(LEASE_S + 0.1) == []


def test_leases_are_renewed_without_a_record_of_each_server(pair):
    """Guards the size of updates: only changes are sent."""
    a, b = pair
    names = [f"s{number}" for number in range(100)]
    for second in range(10):
        for name in names:
            server = make_server(server_id=name, address=f"h:{name}")
            a.directory.announce(server, float(second))
        update = a.send_update(b, second + 0.1)
        assert len(update.servers) == (100 if second == 0 else 0)
    assert a.send_update(b, 9.2).servers == ()
    assert b.usable(9.0 + LEASE_S - 0.2) == names


@pytest.mark.parametrize("announcements", [1, 5])
def test_restart_under_the_same_identifier_is_reported(pair, announcements):
    """Guards restarted servers, which are cold, whose sequence numbers start
    again at the one that was sent last."""
    a, b = pair
    server = make_server(started_at_ms=1000)
    for sequence in range(1, announcements + 1):
        a.directory.announce(attrs.evolve(server, sequence=sequence), 0.0)
        a.send_update(b, 0.1)
    restarted = attrs.evolve(
        server, sequence=1, started_at_ms=2000, cold_left_s=3.0
    )
    a.directory.announce(restarted, 1.0)
    a.send_update(b, 1.1)
    assert b.directory.find("s1").cold_left_s == 3.0


@pytest.mark.parametrize("streams", [1, 90])
def test_cost_of_a_renewal_does_not_grow_with_streams(streams, monkeypatch):
    """Guards the processor time of a registry in a large fleet: records
    were copied and compared for each server on each stream."""
    member = Member("a")
    others = [f"b{number}" for number in range(streams)]
    names = [f"s{number}" for number in range(50)]
    copied = []
    evolve = attrs.evolve

    def count(record, **changes):
        copied.append(record)
        return evolve(record, **changes)

    for now in (0.0, 1.0):
        for name in names:
            member.directory.announce(
                make_server(server_id=name, address=f"h:{name}"), now
            )
        if now:
            monkeypatch.setattr(attrs, "evolve", count)
        for other in others:
            update = member.updates.setdefault(other, OutgoingUpdates())
            update.next_update(member.vm, member.directory, member.load, now)
    assert not copied


def test_expired_and_renewed_leases_reach_the_other_vm(pair):
    a, b = pair
    for second in range(3):
        a.directory.announce(make_server(), float(second))
        a.send_update(b, second + 0.1)
    for second in (3.0, 4.0, 5.0):
        a.send_update(b, second)
    assert b.usable(5.0) == []
    a.directory.announce(make_server(), 6.0)
    a.send_update(b, 6.0)
    assert b.usable(6.0) == ["s1"]


def make_started_server(sequence, **more):
    return make_server(started_at_ms=1, sequence=sequence, **more)


def test_late_announcement_at_another_vm_does_not_expire_a_server():
    """Guards a live server whose delayed announcement reaches another VM:
    that VM receives no more and lets the lease expire."""
    a, b, outdated = Member("a"), Member("b"), Member("c")
    for second in range(12):
        a.directory.announce(make_started_server(10 + second), float(second))
        if second == 1:
            outdated.directory.announce(make_started_server(10), 1.0)
        for sender in (a, outdated):
            sender.send_update(b, second + 0.1)
        assert b.usable(second + 0.1) == ["s1"]


def test_former_owner_stops_renewing_a_server_that_moved():
    """Guards against a dead server whose lease a former owner renews."""
    a, b, c = Member("a"), Member("b"), Member("c")
    a.directory.announce(make_started_server(1), 0.0)
    a.send_update(c, 0.1)
    b.directory.announce(make_started_server(2), 1.0)
    b.send_update(a, 1.1)
    b.send_update(c, 1.1)
    for second in range(2, 10):
        a.send_update(c, float(second))
        b.send_update(c, float(second))
    assert c.usable(10.0) == []


def test_server_that_left_is_not_restored_by_an_outdated_vm():
    a, b, c = Member("a"), Member("b"), Member("c")
    a.directory.announce(make_started_server(1), 0.0)
    a.send_update(c, 0.1)
    b.directory.announce(make_started_server(2, leaving=True), 0.5)
    b.send_update(c, 0.5)
    for tenth in range(6, 60):
        for sender in (b, a):
            sender.send_update(c, tenth / 10)
        assert c.usable(tenth / 10) == []


@pytest.mark.parametrize("by", ["a", "b"])
def test_a_leaving_server_is_not_used(pair, by):
    """Guards invariant 11, whichever VM receives the announcement."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    a.send_update(b, 0.1)
    sender, other = (a, b) if by == "a" else (b, a)
    sender.directory.announce(make_server(leaving=True), 1.0)
    sender.send_update(other, 1.0)
    assert a.usable(1.0) == b.usable(1.0) == []


def test_older_updates_do_not_override_newer(pair):
    """Guards against a leaving server that receives requests again because
    of a record that another VM still has."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    stale = a.update_for("b", 0.1)
    b.directory.merge(stale, 0.1)
    b.directory.announce(make_server(leaving=True), 1.0)
    b.directory.merge(attrs.evolve(stale, sequence=2), 1.1)
    assert b.usable(1.1) == []


def test_an_outdated_owner_is_accepted_after_renewals(pair):
    """Guards a server that moved to another VM before that VM had received
    its latest sequence number."""
    a, b = pair
    c = Member("c")
    a.directory.announce(make_server(), 0.0)
    a.send_update(c, 0.0)
    for second in (0.1, 0.2, 0.3):
        a.directory.announce(make_server(), second)
        a.send_update(b, second)
    c.directory.announce(make_server(), 1.0)
    c.send_update(b, 1.0)
    for second in (2.0, 3.0, 4.0):
        c.directory.announce(make_server(), second)
        c.send_update(b, second)
    assert b.usable(5.5) == ["s1"]


def test_updates_of_a_restarted_vm_are_accepted_at_once(pair):
    """Guards against ignoring a VM that counts from 1 after a restart."""
    a, b = pair
    for second in range(20):
        a.directory.announce(make_server(), second / 10)
    a.send_update(b, 2.0)
    restarted_vm = Member("a", incarnation="2")
    restarted_vm.directory.announce(make_server(leaving=True), 2.1)
    restarted_vm.send_update(b, 2.1)
    assert b.usable(2.1) == []


@pytest.mark.parametrize(
    ("change", "is_new"),
    [
        ({}, False),
        ({"instance": "2"}, True),
        ({"address": "127.0.0.1:10"}, True),
        ({"slots": 9}, False),
    ],
)
def test_restarted_server_is_treated_as_new(pair, change, is_new):
    """Guards slow start and statistics of a server that restarts in place."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    a.send_update(b, 0.0)
    a.directory.announce(make_server(**change), 1.0)
    a.send_update(b, 1.0)
    for member in pair:
        [view] = member.directory.views("plots", "1", 1.0)
        assert (view.first_seen_at == 1.0) is is_new


def test_in_flight_requests_of_silent_peers_are_not_counted(pair):
    """Guards slots against stale counts of a VM that died or restarted."""
    a, b = pair
    a.directory.announce(make_server(), 0.0)
    b.load = LocalLoad(in_flight={"s1": 4})
    b.send_update(a, 0.0)
    assert a.directory.peers.in_flight("s1", 1.0) == 4
    b.load = LocalLoad(in_flight={"s1": 2})
    b.send_update(a, 1.0)
    assert a.directory.peers.in_flight("s1", 1.0) == 2
    restarted_vm = Member("b", incarnation="2")
    restarted_vm.send_update(a, 1.5)
    assert a.directory.peers.in_flight("s1", 1.5) == 0
    b.send_update(a, 1.6)
    b.load = LocalLoad(in_flight={"s1": 3})
    b.send_update(a, 1.7)
    assert a.directory.peers.in_flight("s1", 10.0) == 0


def test_load_keeps_its_age_through_renewals(pair):
    """Guards against an outdated load that appears fresh on another VM."""
    a, b = pair
    a.directory.announce(make_server(load=0.5, load_age_s=2.0), 0.0)
    a.send_update(b, 0.5)
    a.directory.announce(make_server(load=0.5, load_age_s=3.0), 1.0)
    a.send_update(b, 1.0)
    [view] = b.directory.views("plots", "1", 1.0)
    assert view.load_at == pytest.approx(-2.0)


def test_draining_or_silent_peers_are_not_returned_to_callers(pair):
    """Guards callers against VMs that the roster still lists as serving."""
    a, b = pair
    b.send_update(a, 0.0)
    peers = a.directory.peers
    assert peers.accepts_callers(b.vm, 1.0)
    assert not peers.accepts_callers(b.vm, 10.0)
    restarted = attrs.evolve(b.vm, incarnation="2")
    assert peers.accepts_callers(restarted, 10.0)
    assert peers.accepts_callers(Vm(name="elsewhere"), 10.0)
    roster = b.vm
    b.vm = attrs.evolve(b.vm, state=VmState.DRAINING)
    b.send_update(a, 11.0)
    assert not peers.accepts_callers(roster, 11.0)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["announce", "leave", "restart", "send"]),
            st.sampled_from([0.0, 0.3, 1.0]),
        ),
        max_size=40,
    ),
    st.integers(0, 2),
    st.booleans(),
)
@hypothesis.settings(deadline=None)
def test_directories_converge_on_the_last_announcement(steps, last, leaving):
    """Guards convergence after any order of updates: a directory that
    receives every announcement directly contains only the last one."""
    members = [Member(name) for name in "abc"]
    now = 0.0
    instance = 0
    for number, action, seconds in steps:
        now += seconds
        member = members[number]
        if action == "send":
            member.send_update(members[(number + 1) % 3], now)
        else:
            instance += action == "restart"
            member.directory.announce(
                make_server(instance=str(instance), leaving=action == "leave"),
                now,
            )
    for _ in range(4):
        now += 1.0
        members[last].directory.announce(
            make_server(instance="last", leaving=leaving), now
        )
        for member in members:
            for other in members:
                if other is not member:
                    member.send_update(other, now)
    for member in members:
        views = member.directory.views("plots", "1", now)
        assert len(views) == (not leaving)
        assert all(view.server.instance == "last" for view in views)


def test_servers_of_one_message_are_logged_together(pair, caplog):
    """Guards the log of a VM that starts and learns of the whole fleet."""
    a, b = pair
    for number in range(40):
        server = make_server(
            server_id=f"s{number}", address=f"127.0.0.1:{number + 1}"
        )
        a.directory.announce(server, 0.0)
    caplog.clear()
    caplog.set_level("INFO")
    a.send_update(b, 0.1)
    [record] = caplog.records
    assert record.servers == [f"s{number}" for number in range(40)]
    assert record.told_by == "a"
    a.directory.announce(attrs.evolve(server, leaving=True), 0.2)
    caplog.clear()
    a.send_update(b, 0.3)
    [record] = caplog.records
    assert record.getMessage() == "membership: s39 leaves"
